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
  /** Identity of this incarnation of the instance. */
  readonly self: ResultOwner;
  /** Returns whether this instance is the coordinator. */
  readonly isCoordinator: () => boolean;
  /** Returns the start of each known instance, in Unix milliseconds. */
  readonly listStarts: () => ReadonlyMap<string, number>;
  /** Asks the upstreams that store the results to release them. */
  readonly releaseResults: (results: readonly OwnedResult[]) => void;
}

/**
 * Largest number of checkpoints deleted at once. Stores limit the operations of a
 * transaction, the strictest known one to 32. The next coordinator deletes the rest.
 */
const MAX_REMOVALS_PER_TRANSACTION = 30;

/** The checkpoints of other instances and of earlier incarnations of this one. */
interface OtherCheckpoints {
  readonly keys: readonly string[];
  readonly results: readonly OwnedResult[];
}

/**
 * Milliseconds between two checks whether this instance has become the coordinator and
 * whether more owners have restarted. A fleet of 75 instances restarts within 0.5 s.
 */
const POLL_INTERVAL_MS = 100;
/**
 * Milliseconds after which the remaining results of the checkpoints are ignored, because they
 * have expired at their upstreams: twice the retention of 4 s in known deployments.
 */
const RESULT_EXPIRY_MS = 8000;

/**
 * Releases the results that a lost coordinator tracked for instances that were lost as
 * well. Reads all checkpoints but its own each time this instance becomes the coordinator.
 */
export class OrphanReleaser {
  private readonly parts: OrphanReleaserParts;
  private readonly controller = new AbortController();

  constructor(parts: OrphanReleaserParts) {
    this.parts = parts;
  }

  /** Runs until stopped, then resolves. */
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
    // An instance that is no longer the coordinator leaves the checkpoints to the new one.
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

  // Resolves to undefined if the store does not answer; the caller retries.
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
      // Written by a later version or by something else; its results expire by themselves.
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
      // The next coordinator reads them again and finds their results released or expired.
      this.logUnread(error);
    }
  }

  private logUnread(error: unknown, key?: string): void {
    const reason = error instanceof Error ? error.message : String(error);
    this.parts.logger.logEvent('results.checkpoint-unread', {key, reason});
  }

  // Resolves to false once stopped.
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
