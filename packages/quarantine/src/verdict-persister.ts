import {RepeatingTask, type Clock} from '@hollowstack/clock';
import type {EventLogger} from '@hollowstack/logger';
import {createPrefixRange, type KeyValueStore} from '@hollowstack/store';
import type {StoredVerdicts} from './stored-verdicts.ts';
import {VERDICT_LEASE_MS, assembleVerdictPlan} from './verdict-plan.ts';

/** Dependencies of VerdictPersister. */
export interface VerdictPersisterParts<Report> {
  readonly clock: Clock;
  readonly logger: EventLogger;
  /** Draws from 0 to below 1. */
  readonly random: () => number;
  readonly store: Pick<
    KeyValueStore,
    'readRange' | 'runTransaction' | 'grantLease' | 'getHistoryId'
  >;
  readonly verdicts: StoredVerdicts<Report>;
  /** Returns whether this instance is the coordinator, which alone uses the store. */
  readonly isCoordinator: () => boolean;
}

/** Milliseconds between two updates of the store. */
const SYNC_INTERVAL_MS = 500;

/**
 * Persists verdicts, which are the reports on what is quarantined, in the store, so that
 * they survive the loss of all instances. Only the coordinator reads and writes them; other
 * instances receive them from their peers.
 */
export class VerdictPersister<Report> {
  private readonly parts: VerdictPersisterParts<Report>;
  private readonly task: RepeatingTask;
  /**
   * When each verdict was last written or read, by its id; undefined until the
   * verdicts are read, and while another instance coordinates.
   */
  private written: Map<string, number> | undefined;
  /** Store history to which `written` applies; it changes when the store is restored. */
  private historyId = '';
  private hasFailed = false;

  constructor(parts: VerdictPersisterParts<Report>) {
    this.parts = parts;
    this.task = new RepeatingTask(parts.clock, parts.random, async () => {
      await this.refreshVerdicts();
      return SYNC_INTERVAL_MS;
    });
  }

  /** Persists verdicts periodically until stopped. */
  start(): Promise<void> {
    return this.task.start();
  }

  stop(): void {
    this.task.stop();
  }

  private async refreshVerdicts(): Promise<void> {
    if (!this.parts.isCoordinator()) {
      this.written = undefined;
      return;
    }
    const historyId = this.parts.store.getHistoryId();
    if (historyId !== this.historyId) this.written = undefined;
    this.historyId = historyId;
    try {
      this.written ??= await this.readVerdicts();
      await this.writeChanges(this.written);
      this.hasFailed = false;
    } catch (error) {
      // The next run retries; meanwhile every instance refuses the requests from memory.
      if (!this.hasFailed) this.logFailure(error);
      this.hasFailed = true;
    }
  }

  private async readVerdicts(): Promise<Map<string, number>> {
    const {clock, store, verdicts} = this.parts;
    const {keyValues} = await store.readRange(
      createPrefixRange(verdicts.prefix),
    );
    const stored = keyValues.flatMap(({key, value}) =>
      this.decodeEntry(key, value),
    );
    verdicts.applyVerdicts(stored, 'store');
    const nowMs = clock.getNow();
    return new Map(stored.map(verdict => [verdicts.getId(verdict), nowMs]));
  }

  private async writeChanges(written: Map<string, number>): Promise<void> {
    const {clock, store, verdicts} = this.parts;
    const current = new Map(
      verdicts
        .listVerdicts()
        .map(verdict => [verdicts.getId(verdict), verdict]),
    );
    const plan = assembleVerdictPlan(
      [...current.keys()],
      written,
      clock.getNow(),
    );
    for (const id of plan.writes) {
      const {id: leaseId} = await store.grantLease(VERDICT_LEASE_MS);
      const key = verdicts.prefix + id;
      const value = JSON.stringify(current.get(id));
      await store.runTransaction({
        comparisons: [],
        onSuccess: [{type: 'put', key, value, leaseId}],
      });
      written.set(id, clock.getNow());
    }
    for (const id of plan.removals) {
      const range = {start: verdicts.prefix + id};
      await store.runTransaction({
        comparisons: [],
        onSuccess: [{type: 'delete', range}],
      });
      written.delete(id);
    }
  }

  private decodeEntry(key: string, value: string): Report[] {
    try {
      return [this.parts.verdicts.parseVerdict(JSON.parse(value))];
    } catch (error) {
      // A later version or another program may have written the entry. It identifies
      // nothing to refuse, and must not prevent the others from being read.
      this.logFailure(error, key);
      return [];
    }
  }

  private logFailure(error: unknown, key?: string): void {
    const reason = error instanceof Error ? error.message : String(error);
    this.parts.logger.logEvent('quarantine.store-failed', {key, reason});
  }
}
