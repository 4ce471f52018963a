import {waitFor, type Clock} from '@hollowstack/clock';
import type {EventLogger} from '@hollowstack/logger';
import {
  createPrefixRange,
  type KeyValue,
  type KeyValueStore,
} from '@hollowstack/store';
import type {OwnedResult, ResultOwner} from '@hollowstack/types';
import {
  CHECKPOINT_PREFIX,
  decodeCheckpoint,
  getCheckpointKey,
} from './checkpoint.ts';
import {assembleOrphanPlan} from './orphan-plan.ts';

/** Dependencies of OrphanReleaser. */
export interface OrphanReleaserParts {
  readonly clock: Clock;
  readonly logger: EventLogger;
  readonly store: Pick<KeyValueStore, 'readRange' | 'runTransaction'>;
  /** This life of this instance. */
  readonly self: ResultOwner;
  /** Returns whether this instance coordinates. */
  readonly isCoordinator: () => boolean;
  /** Returns when each known instance started, in Unix milliseconds. */
  readonly listStarts: () => ReadonlyMap<string, number>;
  /** Gives results back to the upstreams that keep them. */
  readonly releaseResults: (results: readonly OwnedResult[]) => void;
}

/**
 * Checkpoints taken out at once, at most: stores bound the steps of a transaction, the
 * strictest seen to 32. What is left is taken out by the next coordinator.
 */
const MAX_REMOVALS_PER_TRANSACTION = 30;

/** The checkpoints of other lives. */
interface OtherCheckpoints {
  readonly keys: readonly string[];
  readonly results: readonly OwnedResult[];
}

/**
 * Milliseconds between two looks: whether this instance has come to coordinate, and
 * whether further owners have started again. A fleet of 75 is back within 0.5 s.
 */
const POLL_INTERVAL_MS = 100;
/**
 * Milliseconds after which what is left of a checkpoint is not looked at any more: its
 * results have run out at their upstreams. Twice the 4 s of the deployments seen.
 */
const RESULT_EXPIRY_MS = 8000;

/**
 * Gives back what a lost coordinator held for instances that were lost as well. Each
 * time this instance comes to coordinate it reads the checkpoints of the others.
 */
export class OrphanReleaser {
  private readonly parts: OrphanReleaserParts;
  private readonly controller = new AbortController();

  constructor(parts: OrphanReleaserParts) {
    this.parts = parts;
  }

  /** Looks until stopped. */
  async start(): Promise<void> {
    let wasCoordinator = false;
    for (;;) {
      const isCoordinator = this.parts.isCoordinator();
      if (isCoordinator && !wasCoordinator) await this.releaseOrphans();
      wasCoordinator = isCoordinator;
      if (!(await this.waitForNextPoll())) return;
    }
  }

  stop(): void {
    this.controller.abort(new Error('stopped'));
  }

  private async releaseOrphans(): Promise<void> {
    const {clock, isCoordinator, listStarts} = this.parts;
    const untilMs = clock.getNow() + RESULT_EXPIRY_MS;
    let checkpoints: OtherCheckpoints | undefined;
    let remaining: readonly OwnedResult[] = [];
    while (isCoordinator() && clock.getNow() < untilMs) {
      if (!checkpoints) {
        checkpoints = await this.readCheckpoints();
        remaining = checkpoints?.results ?? [];
      }
      const {orphans, others} = assembleOrphanPlan(remaining, listStarts());
      this.releaseAndLog(orphans, others);
      remaining = others;
      if (checkpoints && remaining.length === 0) break;
      if (!(await this.waitForNextPoll())) return;
    }
    // Whoever stops to coordinate leaves them to the one that does.
    if (checkpoints && isCoordinator()) await this.removeKeys(checkpoints.keys);
  }

  private releaseAndLog(
    orphans: readonly OwnedResult[],
    others: readonly OwnedResult[],
  ): void {
    if (orphans.length === 0) return;
    this.parts.releaseResults(orphans);
    this.parts.logger.logEvent('results.orphaned', {
      results: orphans.length,
      left: others.length,
    });
  }

  // Undefined where the store does not answer: it is asked again.
  private async readCheckpoints(): Promise<OtherCheckpoints | undefined> {
    const range = createPrefixRange(CHECKPOINT_PREFIX);
    const ownKey = getCheckpointKey(this.parts.self);
    try {
      const {keyValues} = await this.parts.store.readRange(range);
      const others = keyValues.filter(({key}) => key !== ownKey);
      return {
        keys: others.map(({key}) => key),
        results: others.flatMap(each => this.decodeEntry(each)),
      };
    } catch (error) {
      this.logUnread(error);
      return undefined;
    }
  }

  private decodeEntry({key, value}: KeyValue): OwnedResult[] {
    try {
      return decodeCheckpoint(value);
    } catch (error) {
      // Of a later version, or of another writer: its results run out by themselves.
      this.logUnread(error, key);
      return [];
    }
  }

  private async removeKeys(keys: readonly string[]): Promise<void> {
    if (keys.length === 0) return;
    const onSuccess = keys.slice(0, MAX_REMOVALS_PER_TRANSACTION).map(key => ({
      type: 'delete' as const,
      range: {start: key},
    }));
    try {
      await this.parts.store.runTransaction({comparisons: [], onSuccess});
    } catch (error) {
      // The next coordinator reads them again, and finds nothing left to give back.
      this.logUnread(error);
    }
  }

  private logUnread(error: unknown, key?: string): void {
    const reason = error instanceof Error ? error.message : String(error);
    this.parts.logger.logEvent('results.checkpoint-unread', {key, reason});
  }

  // Resolves to whether there is a next look.
  private async waitForNextPoll(): Promise<boolean> {
    const {signal} = this.controller;
    await waitFor(this.parts.clock, POLL_INTERVAL_MS, signal).catch(
      (error: unknown) => {
        if (!signal.aborted) throw error;
      },
    );
    return !signal.aborted;
  }
}
