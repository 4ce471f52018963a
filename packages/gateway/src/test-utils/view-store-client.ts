import {waitFor, type ManualClock} from '@hollowstack/clock';
import {SilentEventLogger} from '@hollowstack/logger';
import {
  KeyValueStore,
  PolledWatch,
  StoreError,
  StoreRefusalError,
  type KeyRange,
  type Lease,
  type RangeResult,
  type Transaction,
  type TransactionResult,
  type WatchCall,
  type WatchCallAnswer,
  type WatchEvent,
  type WatchProgress,
} from '@hollowstack/store';
import {LATENCY_MS, type Connection} from './connection.ts';
import type {ViewStore} from './view-store.ts';

/** Time-out of a call of the store, the default of the settings. */
export const STORE_TIMEOUT_MS = 1000;

/** One instance's client of the in-memory store, over persistent connections. */
export class ViewStoreClient extends KeyValueStore {
  /** Whether the store refuses every call of this instance. */
  isRefused = false;
  /** Delay of answers to full reads in milliseconds, by the first key of the range. */
  readonly readDelaysMs = new Map<string, number>();
  private readonly clock: ManualClock;
  private readonly store: ViewStore;
  private readonly watch: PolledWatch;
  private readonly openConnections = new Set<Connection>();
  private idleConnections: Connection[] = [];
  private historyController = new AbortController();

  constructor(clock: ManualClock, store: ViewStore) {
    super();
    this.clock = clock;
    this.store = store;
    this.watch = new PolledWatch({
      clock,
      logger: new SilentEventLogger(),
      callStore: call => this.callWatch(call),
    });
  }

  silenceConnections(isAffected: () => boolean): void {
    for (const connection of this.openConnections) {
      if (isAffected()) connection.isSilent = true;
    }
  }

  /** Ends the pending watch calls, as a store does that has compacted its history. */
  endWatches(): void {
    const error = new StoreRefusalError('the history is gone', 'none');
    this.historyController.abort(error);
    this.historyController = new AbortController();
  }

  async readRange(range: KeyRange): Promise<RangeResult> {
    return this.call(async () => {
      const result = this.store.read(range);
      const delayMs = this.readDelaysMs.get(range.start) ?? 0;
      if (delayMs > 0) await waitFor(this.clock, delayMs);
      return result;
    });
  }

  async runTransaction({onSuccess}: Transaction): Promise<TransactionResult> {
    return this.call(async () => {
      for (const step of onSuccess) {
        if (step.type === 'put') this.store.put(step.key, step.value);
      }
      return {succeeded: true, storeId: 's', storeRevision: 0, reads: []};
    });
  }

  async grantLease(ttlMs: number): Promise<Lease> {
    return this.call(async () => ({id: '1', ttlMs}));
  }

  async renewLease(): Promise<boolean> {
    return this.call(async () => true);
  }

  async revokeLease(): Promise<void> {}

  async *watchRanges(
    ranges: readonly KeyRange[],
    fromRevision: number,
    signal: AbortSignal,
    handleProgress?: (progress: WatchProgress) => void,
  ): AsyncIterable<readonly WatchEvent[]> {
    yield [];
    yield* this.watch.watchRanges(ranges, fromRevision, signal, handleProgress);
  }

  override refreshWatch(): void {
    this.watch.refresh();
  }

  private async callWatch(call: WatchCall): Promise<WatchCallAnswer> {
    const historySignal = this.historyController.signal;
    return this.send(async () => {
      const waitSignal = AbortSignal.any([
        call.signal,
        historySignal,
        this.createWaitSignal(call),
      ]);
      for (;;) {
        historySignal.throwIfAborted();
        const answer = this.store.listChanges(call);
        if (answer.events.length > 0 || waitSignal.aborted) return answer;
        await this.store.waitForChange(waitSignal);
      }
    }, call.signal);
  }

  private createWaitSignal({waitMs}: WatchCall): AbortSignal {
    const controller = new AbortController();
    this.clock.schedule(waitMs, () => controller.abort());
    return controller.signal;
  }

  private async call<Answer>(run: () => Promise<Answer>): Promise<Answer> {
    const controller = new AbortController();
    const timer = this.clock.schedule(STORE_TIMEOUT_MS, () =>
      controller.abort(new Error('no answer in time')),
    );
    try {
      return await this.send(run, controller.signal);
    } finally {
      timer.cancel();
    }
  }

  // Behaves like the HTTP client: idle connections are reused, and after a failure on one
  // of them the others are closed as well.
  private async send<Answer>(
    run: () => Promise<Answer>,
    signal: AbortSignal,
  ): Promise<Answer> {
    const reused = this.idleConnections.pop();
    const connection = reused ?? {isSilent: false};
    this.openConnections.add(connection);
    try {
      await waitFor(this.clock, LATENCY_MS, signal);
      if (this.isRefused) throw new StoreError('refused', 'none');
      const answer = connection.isSilent ? undefined : await run();
      if (connection.isSilent) await waitFor(this.clock, Infinity, signal);
      signal.throwIfAborted();
      this.idleConnections.push(connection);
      return answer!;
    } catch (error) {
      this.openConnections.delete(connection);
      if (reused) this.idleConnections = [];
      throw error;
    }
  }
}
