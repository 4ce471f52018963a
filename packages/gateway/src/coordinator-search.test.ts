import assert from 'node:assert/strict';
import {test} from 'node:test';
import {ManualClock, waitFor} from '@hollowstack/clock';
import {
  Membership,
  PEER_PREFIX,
  chooseCoordinator,
  type PeerRecord,
  type PeerReply,
  type PeerRequest,
} from '@hollowstack/peers';
import {
  KeyValueStore,
  type Lease,
  type RangeResult,
  type TransactionResult,
  type WatchEvent,
} from '@hollowstack/store';
import {CoordinatorSearch} from './coordinator-search.ts';

/** Instances of the fleet under test; the strong ones have more cores. */
const FLEET_SIZE = 200;
const STRONG_COUNT = 15;
/** Time within which all processes of the fleet start. */
const START_SPREAD_MS = 300;
const ROUND_TRIP_MS = 4;
/** Time after the first start within which all instances must agree. */
const AGREEMENT_MS = START_SPREAD_MS + 300;

/** A store that serves only the member list; every other call fails. */
class ListOnlyStore extends KeyValueStore {
  private readonly records: readonly PeerRecord[];

  constructor(records: readonly PeerRecord[]) {
    super();
    this.records = records;
  }

  async readRange(): Promise<RangeResult> {
    const keyValues = this.records.map((record, index) => ({
      key: PEER_PREFIX + record.id,
      value: JSON.stringify(record),
      modRevision: index,
      createRevision: index,
    }));
    return {storeId: 's', storeRevision: 1000, keyValues};
  }

  async runTransaction(): Promise<TransactionResult> {
    throw new Error('the store is unavailable');
  }

  async grantLease(): Promise<Lease> {
    throw new Error('the store is unavailable');
  }

  async renewLease(): Promise<boolean> {
    return false;
  }

  async revokeLease(): Promise<void> {}

  async *watchRanges(): AsyncIterable<readonly WatchEvent[]> {}
}

interface Fleet {
  readonly clock: ManualClock;
  /** Memberships of the instances that restart, by instance id. */
  readonly memberships: ReadonlyMap<string, Membership>;
  readonly searches: readonly CoordinatorSearch[];
  readonly strongIds: readonly string[];
}

function createRandom(seed: number): () => number {
  let state = seed;
  return () => {
    state = (Math.imul(state, 1664525) + 1013904223) >>> 0;
    return state / 2 ** 32;
  };
}

// Restarts a fleet that lost all its instances; the share `deadShare` of them stays down.
function startFleet(seed: number, deadShare: number): Fleet {
  const random = createRandom(seed);
  const clock = new ManualClock();
  const records = Array.from({length: FLEET_SIZE}, (_, index) => ({
    id: `instance-${seed}-${index}`,
    address: `10.0.0.${index}:1`,
    failureDomain: `domain-${index % 5}`,
    cores: index < STRONG_COUNT ? 1.35 : 0.3,
  }));
  const listening = new Map<string, Membership>();
  const memberships = new Map<string, Membership>();
  const searches: CoordinatorSearch[] = [];
  const sendRequest = async (
    address: string,
    request: PeerRequest,
  ): Promise<PeerReply> => {
    assert.equal(request.type, 'ping');
    await waitFor(clock, ROUND_TRIP_MS);
    if (listening.has(address)) return {type: 'done'};
    throw new Error('refused');
  };
  for (const self of records) {
    if (random() < deadShare) continue;
    const membership = new Membership({
      self,
      store: new ListOnlyStore(records),
      clock,
      random,
    });
    memberships.set(self.id, membership);
    const search = new CoordinatorSearch({
      link: {sendRequest, closePeer: () => {}},
      membership,
      clock,
      random,
    });
    searches.push(search);
    clock.schedule(random() * START_SPREAD_MS, () => {
      listening.set(self.address, membership);
      void membership.refresh();
      void search.start();
    });
  }
  const strongIds = records
    .slice(0, STRONG_COUNT)
    .map(({id}) => id)
    .filter(id => memberships.has(id));
  return {clock, memberships, searches, strongIds};
}

for (const [seed, deadShare] of [
  [1, 0],
  [2, 0],
  [3, 0.2],
  [4, 0.5],
  [5, 0.8],
] as const) {
  test(`after the loss of all instances, the restarted ones agree on a coordinator within 0.6 s of the first start (seed ${seed}, ${deadShare} stay down)`, async () => {
    const {clock, memberships, searches, strongIds} = startFleet(
      seed,
      deadShare,
    );
    await clock.advance(AGREEMENT_MS);
    const chosen = new Set(
      [...memberships].map(
        ([id, membership]) => chooseCoordinator(membership)?.id ?? id,
      ),
    );
    for (const search of searches) search.stop();
    assert.equal(chosen.size, 1, [...chosen].join(' '));
    if (strongIds.length > 0) assert.ok(strongIds.includes([...chosen][0]));
  });
}
