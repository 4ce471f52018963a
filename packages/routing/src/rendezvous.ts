const FNV_OFFSET = 0x811c9dc5;
const FNV_PRIME = 0x01000193;

/** Ranks ids for a key by rendezvous hashing, the best first; adding or removing an id does not reorder the others. */
export function listByRendezvous(
  key: string,
  ids: readonly string[],
): string[] {
  return ids
    .map(id => ({id, weight: computeWeight(key, id)}))
    .sort((left, right) => right.weight - left.weight)
    .map(({id}) => id);
}

/**
 * Chooses the subset of a large pool that one instance uses, so that its
 * connections and load reports do not grow with the pool. The subset spreads
 * over the failure domains as evenly as possible.
 */
export function chooseSubset<Item extends {id: string; failureDomain: string}>(
  instanceId: string,
  upstreams: readonly Item[],
  size: number,
): Item[] {
  if (upstreams.length <= size) return [...upstreams];
  const byId = new Map(upstreams.map(upstream => [upstream.id, upstream]));
  const ranked = listByRendezvous(instanceId, [...byId.keys()]);
  const queues = new Map<string, Item[]>();
  for (const id of ranked) {
    const upstream = byId.get(id)!;
    const queue = queues.get(upstream.failureDomain) ?? [];
    queue.push(upstream);
    queues.set(upstream.failureDomain, queue);
  }
  return chooseRoundRobin([...queues.values()], size);
}

function chooseRoundRobin<Item>(queues: Item[][], size: number): Item[] {
  const chosen: Item[] = [];
  for (let round = 0; chosen.length < size; round++) {
    for (const queue of queues) {
      if (chosen.length === size) break;
      if (round < queue.length) chosen.push(queue[round]);
    }
  }
  return chosen;
}

function computeWeight(key: string, id: string): number {
  let hash = FNV_OFFSET;
  const text = `${key}\0${id}`;
  for (let index = 0; index < text.length; index++) {
    hash = Math.imul(hash ^ text.charCodeAt(index), FNV_PRIME);
  }
  // The high bits of FNV barely differ between short texts that differ at the
  // end, so a final mix spreads them.
  hash ^= hash >>> 16;
  hash = Math.imul(hash, 0x85ebca6b);
  hash ^= hash >>> 13;
  hash = Math.imul(hash, 0xc2b2ae35);
  return (hash ^ (hash >>> 16)) >>> 0;
}
