import {listByRendezvous} from '@hollowstack/routing';

/** How many engines of a pool shall hold a model. */
export interface PlacementTarget {
  readonly model: string;
  readonly copies: number;
}

/** One engine as the plan sees it. */
export interface EngineState {
  readonly id: string;
  readonly failureDomain: string;
  /** Whether it may be given work; orders to others would be lost. */
  readonly isUsable: boolean;
  /** Models that it reports to hold. */
  readonly models: readonly string[];
}

/** What one engine shall hold from now on; the order says all of it, not the change. */
export interface PlannedOrder {
  readonly engine: string;
  readonly models: readonly string[];
  /** Models that it has to load first. */
  readonly loads: readonly string[];
}

/** Orders as data; nothing has been sent yet. */
export interface PlacementPlan {
  readonly orders: readonly PlannedOrder[];
  /** Loads that the weight store's rate puts off. */
  readonly postponedLoads: number;
}

/**
 * Assembles the orders that bring a pool to its targets: holders stay, missing
 * copies go to the engines with the least, spread over failure domains, and
 * copies beyond the target go once enough usable engines hold the model.
 *
 * @param modelsPerEngine Most models that one engine can hold.
 * @param maxLoads Most loads to start now.
 */
export function assemblePlacementPlan(
  targets: readonly PlacementTarget[],
  engines: readonly EngineState[],
  modelsPerEngine: number,
  maxLoads: number,
): PlacementPlan {
  const usable = engines.filter(({isUsable}) => isUsable);
  const wanted = new Map(usable.map(({id}) => [id, new Set<string>()]));
  for (const target of targets) {
    addHolders(target, usable, wanted, modelsPerEngine);
  }
  for (const target of targets) {
    addCopies(target, usable, wanted, modelsPerEngine);
  }
  return createOrders(usable, wanted, maxLoads);
}

function addHolders(
  {model, copies}: PlacementTarget,
  usable: readonly EngineState[],
  wanted: ReadonlyMap<string, Set<string>>,
  modelsPerEngine: number,
): void {
  const holders = usable
    .filter(({models}) => models.includes(model))
    .map(({id}) => id);
  // Ranked by the model's name, so that each holder of the lease keeps the same.
  for (const id of listByRendezvous(model, holders).slice(0, copies)) {
    const models = wanted.get(id)!;
    if (models.size < modelsPerEngine) models.add(model);
  }
}

function addCopies(
  {model, copies}: PlacementTarget,
  usable: readonly EngineState[],
  wanted: ReadonlyMap<string, Set<string>>,
  modelsPerEngine: number,
): void {
  const countCopies = () =>
    usable.filter(({id}) => wanted.get(id)!.has(model)).length;
  while (countCopies() < copies) {
    const next = chooseEngine(model, usable, wanted, modelsPerEngine);
    if (!next) return;
    wanted.get(next)!.add(model);
  }
}

function chooseEngine(
  model: string,
  usable: readonly EngineState[],
  wanted: ReadonlyMap<string, Set<string>>,
  modelsPerEngine: number,
): string | undefined {
  const countInDomain = (failureDomain: string) =>
    usable.filter(
      engine =>
        engine.failureDomain === failureDomain &&
        wanted.get(engine.id)!.has(model),
    ).length;
  const free = usable.filter(({id}) => {
    const models = wanted.get(id)!;
    return !models.has(model) && models.size < modelsPerEngine;
  });
  const ranked = listByRendezvous(
    model,
    free.map(({id}) => id),
  );
  const compare = (left: EngineState, right: EngineState) =>
    countInDomain(left.failureDomain) - countInDomain(right.failureDomain) ||
    wanted.get(left.id)!.size - wanted.get(right.id)!.size ||
    ranked.indexOf(left.id) - ranked.indexOf(right.id);
  return free.sort(compare).at(0)?.id;
}

function createOrders(
  usable: readonly EngineState[],
  wanted: ReadonlyMap<string, Set<string>>,
  maxLoads: number,
): PlacementPlan {
  const orders: PlannedOrder[] = [];
  let loadsLeft = maxLoads;
  let postponedLoads = 0;
  for (const {id, models} of usable) {
    const target = [...wanted.get(id)!].sort();
    const missing = target.filter(model => !models.includes(model));
    const loads = missing.slice(0, Math.max(0, loadsLeft));
    loadsLeft -= loads.length;
    postponedLoads += missing.length - loads.length;
    // A load that is put off must not take an old model away yet.
    const isPostponed = loads.length < missing.length;
    const next = isPostponed
      ? [...new Set([...models, ...loads])].sort()
      : target;
    const isUnchanged = [...models].sort().join() === next.join();
    if (!isUnchanged) orders.push({engine: id, models: next, loads});
  }
  return {orders, postponedLoads};
}
