import {RepeatingTask, type Clock} from '@hollowstack/clock';
import type {EventLogger} from '@hollowstack/logger';
import {createPrefixRange, type KeyValueStore} from '@hollowstack/store';
import type {SuspectReport} from '@hollowstack/types';
import type {SuspectTable} from './suspect-table.ts';
import {
  VERDICT_LEASE_MS,
  VERDICT_PREFIX,
  assembleVerdictPlan,
  decodeVerdict,
  encodeVerdict,
  getVerdictKey,
} from './verdict-plan.ts';

/** Dependencies of VerdictPersister. */
export interface VerdictPersisterParts {
  readonly clock: Clock;
  readonly logger: EventLogger;
  /** Draws from 0 to below 1. */
  readonly random: () => number;
  readonly store: Pick<
    KeyValueStore,
    'readRange' | 'runTransaction' | 'grantLease' | 'getHistoryId'
  >;
  readonly table: Pick<SuspectTable, 'listVerdicts' | 'applyReports'>;
  /** Returns whether this instance is the coordinator, which alone uses the store. */
  readonly isCoordinator: () => boolean;
}

/** Milliseconds between two updates of the store. */
const SYNC_INTERVAL_MS = 500;

/**
 * Persists verdicts, which are the reports on quarantined requests, in the store, so that
 * they survive the loss of all instances. Only the coordinator reads and writes them; other
 * instances receive them from their peers.
 */
export class VerdictPersister {
  private readonly parts: VerdictPersisterParts;
  private readonly task: RepeatingTask;
  /**
   * When each verdict was last written or read, by fingerprint; undefined until the
   * verdicts are read, and while another instance coordinates.
   */
  private written: Map<string, number> | undefined;
  /** Store history to which `written` applies; it changes when the store is restored. */
  private historyId = '';
  private hasFailed = false;

  constructor(parts: VerdictPersisterParts) {
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
    const {clock, store, table} = this.parts;
    const {keyValues} = await store.readRange(
      createPrefixRange(VERDICT_PREFIX),
    );
    const verdicts = keyValues.flatMap(({key, value}) =>
      this.decodeEntry(key, value),
    );
    table.applyReports(verdicts, 'store');
    const nowMs = clock.getNow();
    return new Map(verdicts.map(({fingerprint}) => [fingerprint, nowMs]));
  }

  private async writeChanges(written: Map<string, number>): Promise<void> {
    const {clock, store, table} = this.parts;
    const verdicts = table.listVerdicts();
    const plan = assembleVerdictPlan(verdicts, written, clock.getNow());
    for (const report of plan.writes) {
      const {fingerprint} = report;
      const {id: leaseId} = await store.grantLease(VERDICT_LEASE_MS);
      const key = getVerdictKey(fingerprint);
      const value = encodeVerdict(report);
      await store.runTransaction({
        comparisons: [],
        onSuccess: [{type: 'put', key, value, leaseId}],
      });
      written.set(fingerprint, clock.getNow());
    }
    for (const fingerprint of plan.removals) {
      const range = {start: getVerdictKey(fingerprint)};
      await store.runTransaction({
        comparisons: [],
        onSuccess: [{type: 'delete', range}],
      });
      written.delete(fingerprint);
    }
  }

  private decodeEntry(key: string, value: string): SuspectReport[] {
    try {
      return [decodeVerdict(value)];
    } catch (error) {
      // A later version or another program may have written the entry. It identifies no
      // request to refuse, and must not prevent the others from being read.
      this.logFailure(error, key);
      return [];
    }
  }

  private logFailure(error: unknown, key?: string): void {
    const reason = error instanceof Error ? error.message : String(error);
    this.parts.logger.logEvent('quarantine.store-failed', {key, reason});
  }
}
