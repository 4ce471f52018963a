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

/** Dependencies of VerdictKeeper. */
export interface VerdictPersisterParts {
  readonly clock: Clock;
  readonly logger: EventLogger;
  /** Returns numbers from 0 to below 1. */
  readonly random: () => number;
  readonly store: Pick<
    KeyValueStore,
    'readRange' | 'runTransaction' | 'grantLease' | 'getHistoryId'
  >;
  readonly table: Pick<SuspectTable, 'listVerdicts' | 'applyReports'>;
  /** Returns whether this instance coordinates, and so writes for all. */
  readonly isCoordinator: () => boolean;
}

/** Milliseconds between two looks at what the store lacks. */
const SYNC_INTERVAL_MS = 500;

/**
 * Keeps verdicts in the store, so that they outlive the loss of all instances. Only the
 * coordinator reads and writes them; the others hear of them from their peers.
 */
export class VerdictPersister {
  private readonly parts: VerdictPersisterParts;
  private readonly task: RepeatingTask;
  /** When each verdict was written or read; undefined while another instance writes. */
  private written: Map<string, number> | undefined;
  /** Store history to which `written` applies. */
  private historyId = '';
  private hasFailed = false;

  constructor(parts: VerdictPersisterParts) {
    this.parts = parts;
    this.task = new RepeatingTask(parts.clock, parts.random, async () => {
      await this.refreshVerdicts();
      return SYNC_INTERVAL_MS;
    });
  }

  /** Keeps verdicts until stopped. */
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
      // The next look tries again; every instance refuses the requests meanwhile.
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
      // Of a later version, or of another writer: it names no request to refuse.
      this.logFailure(error, key);
      return [];
    }
  }

  private logFailure(error: unknown, key?: string): void {
    const reason = error instanceof Error ? error.message : String(error);
    this.parts.logger.logEvent('quarantine.store-failed', {key, reason});
  }
}
