import {waitFor, type Clock} from '@hollowstack/clock';
import {HollowstackError} from '@hollowstack/errors';
import {
  StoreError,
  type StoreIdentity,
  createSingleKeyRange,
  type Operation,
  type KeyValueStore,
} from '@hollowstack/store';
import {
  changeRecordSchema,
  type ConfigurationSnapshot,
} from '@hollowstack/types';
import {HEAD_KEY, getChangeIdKey, getChangeKey, getObjectKey} from './keys.ts';
import {
  assemblePublishPlan,
  assembleRestorePlan,
  type PublishPlan,
  type PublishRequest,
} from './publish-plan.ts';
import {readStoredSnapshot, type StoredSnapshot} from './stored-snapshot.ts';

/** Result of a publish that took effect. */
export interface PublishResult {
  readonly revision: number;
  readonly changeId: string;
  /** Ids of the objects that were written or removed; empty if the request changed nothing. */
  readonly changed: readonly string[];
  /**
   * The complete configuration at that revision; undefined if the request changed nothing or an
   * earlier attempt had published the change.
   */
  readonly snapshot?: ConfigurationSnapshot;
}

// Number of revisions whose change records are retained. Each change deletes the
// record that falls out of this range, so that the store does not grow without
// limit; operators make about 680 changes a day.
const RETAINED_CHANGES = 1000;
/** Largest number of attempts; any change that is published meanwhile makes an attempt fail. */
const MAX_ATTEMPTS = 8;
/** Milliseconds by which the back-off grows with each attempt. */
const RETRY_MS = 100;

/**
 * Applies publish plans to the store. A change is applied at most once, even if
 * the store's answer to an attempt is lost.
 */
export class ConfigurationPublisher {
  private readonly store: KeyValueStore;
  private readonly clock: Clock;
  private readonly random: () => number;
  private readonly identity: StoreIdentity;

  constructor(
    store: KeyValueStore,
    clock: Clock,
    random: () => number,
    identity: StoreIdentity,
  ) {
    this.identity = identity;
    this.store = store;
    this.clock = clock;
    this.random = random;
  }

  /**
   * Publishes a change.
   *
   * @param getInForceRevision Returns the highest revision known to be in force on any instance.
   * @throws HollowstackError of assemblePublishPlan, `store-restored`,
   *   `store-unavailable` (not published), or `outcome-unknown` if the store's
   *   answers do not show whether the change took effect.
   */
  publish(
    request: PublishRequest,
    getInForceRevision: () => number,
  ): Promise<PublishResult> {
    return this.publishByPlan(request.changeId, async ({snapshot, storeId}) => {
      await this.identity.checkStore(storeId);
      return assemblePublishPlan(
        snapshot,
        request,
        getInForceRevision(),
        this.clock.getNow(),
      );
    });
  }

  /** Writes the configuration in force to a store that lost it, and accepts that store. */
  restore(
    inForce: ConfigurationSnapshot,
    request: Pick<PublishRequest, 'changeId' | 'author'>,
  ): Promise<PublishResult> {
    return this.publishByPlan(request.changeId, async ({snapshot, storeId}) => {
      await this.identity.acceptStore(storeId);
      return assembleRestorePlan(
        snapshot,
        inForce,
        request,
        this.clock.getNow(),
      );
    });
  }

  private async publishByPlan(
    changeId: string,
    assemblePlan: (stored: StoredSnapshot) => Promise<PublishPlan>,
  ): Promise<PublishResult> {
    let mayHaveTakenEffect = false;
    for (let attempt = 0; attempt < MAX_ATTEMPTS; attempt++) {
      try {
        const published = await this.publishOnce(changeId, assemblePlan);
        if (published) return published;
      } catch (error) {
        if (!(error instanceof StoreError)) throw error;
        if (error.effect === 'unknown') mayHaveTakenEffect = true;
      }
      await waitFor(this.clock, RETRY_MS * (attempt + this.random()));
    }
    if (mayHaveTakenEffect) {
      throw new HollowstackError(
        'outcome-unknown',
        `change ${changeId} may or may not be published; see: hollowstack config history`,
      );
    }
    throw new HollowstackError(
      'store-unavailable',
      `change ${changeId} was not published`,
    );
  }

  // Resolves to undefined if another change was published in between; the caller plans again.
  private async publishOnce(
    changeId: string,
    assemblePlan: (stored: StoredSnapshot) => Promise<PublishPlan>,
  ): Promise<PublishResult | undefined> {
    const earlier = await this.findPublished(changeId);
    if (earlier) return earlier;
    const stored = await readStoredSnapshot(this.store);
    const plan = await assemblePlan(stored);
    if (plan.isEmpty) {
      return {revision: stored.snapshot.head.revision, changeId, changed: []};
    }
    const result = await this.store.runTransaction({
      comparisons: [
        {key: HEAD_KEY, modRevision: stored.headModRevision},
        {key: getChangeIdKey(changeId), modRevision: 0},
      ],
      onSuccess: [
        ...createWrites(plan),
        ...(await this.createPruneOperations(plan.head.revision)),
      ],
    });
    if (!result.succeeded) return undefined;
    // The store may have been restored between the read and the write, with an
    // older head whose modRevision compares equal.
    if (result.storeId !== stored.storeId) {
      throw new HollowstackError(
        'store-restored',
        `the store was restored while change ${changeId} was written`,
        {ran: 'unknown'},
      );
    }
    const {revision, changed, removed} = plan.record;
    return {
      revision,
      changeId,
      changed: [...changed, ...removed],
      snapshot: plan.next,
    };
  }

  private async findPublished(
    changeId: string,
  ): Promise<PublishResult | undefined> {
    const found = await this.store.readRange(
      createSingleKeyRange(getChangeIdKey(changeId)),
    );
    const keyValue = found.keyValues.at(0);
    if (!keyValue) return undefined;
    const record = changeRecordSchema.parse(JSON.parse(keyValue.value));
    return {
      revision: record.revision,
      changeId,
      changed: [...record.changed, ...record.removed],
    };
  }

  private async createPruneOperations(revision: number): Promise<Operation[]> {
    const oldKey = getChangeKey(revision - RETAINED_CHANGES);
    if (revision <= RETAINED_CHANGES) return [];
    const found = await this.store.readRange(createSingleKeyRange(oldKey));
    const keyValue = found.keyValues.at(0);
    if (!keyValue) return [];
    const {changeId} = changeRecordSchema.parse(JSON.parse(keyValue.value));
    return [oldKey, getChangeIdKey(changeId)].map(key => ({
      type: 'delete',
      range: createSingleKeyRange(key),
    }));
  }
}

function createWrites(plan: PublishPlan): Operation[] {
  const {head, record, writes, deletions} = plan;
  const recordText = JSON.stringify(record);
  return [
    ...writes.map(object => ({
      type: 'put' as const,
      key: getObjectKey(object.kind, object.value.name),
      value: JSON.stringify(object),
    })),
    ...deletions.map(({kind, name}) => ({
      type: 'delete' as const,
      range: createSingleKeyRange(getObjectKey(kind, name)),
    })),
    {type: 'put', key: HEAD_KEY, value: JSON.stringify(head)},
    {type: 'put', key: getChangeKey(record.revision), value: recordText},
    {type: 'put', key: getChangeIdKey(record.changeId), value: recordText},
  ];
}
