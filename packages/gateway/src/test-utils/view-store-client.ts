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

/** Milliseconds for one answer of the store, as the settings' default. */
export const STORE_TIMEOUT_MS = 1000;

/** One instance's way to the store, over connections that are kept. */
export class ViewStoreClient extends KeyValueStore {
  /** Whether the store refuses every call of this instance. */
  isRefused = false;
  /** Milliseconds by which whole readings are answered late, by the range's first key. */
  readonly readDelaysMs = new Map<string, number>();
  private readonly clock: ManualClock;
  private readonly store: ViewStore;
  private readonly watch: PolledWatch;
  private readonly open = new Set<Connection>();
  private idle: Connection[] = [];
  private history = new AbortController();

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

  silenceConnections(isStruck: () => boolean): void {
    for (const connection of this.open) {
      if (isStruck()) connection.isSilent = true;
    }
  }

  /** Ends the calls of watches that wait now, as a store that forgets its history does. */
  endWatches(): void {
    const error = new StoreRefusalError('the history is gone', 'none');
    this.history.abort(error);
    this.history = new AbortController();
  }

  async readRange(range: KeyRange): Promise<RangeResult> {
    return this.call(async () => {
      const reading = this.store.read(range);
      const delayMs = this.readDelaysMs.get(range.start) ?? 0;
      if (delayMs > 0) await waitFor(this.clock, delayMs);
      return reading;
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
    const history = this.history.signal;
    return this.send(async () => {
      const waiting = AbortSignal.any([
        call.signal,
        history,
        this.createEnd(call),
      ]);
      for (;;) {
        history.throwIfAborted();
        const answer = this.store.listChanges(call);
        if (answer.events.length > 0 || waiting.aborted) return answer;
        await this.store.waitForChange(waiting);
      }
    }, call.signal);
  }

  private createEnd({waitMs}: WatchCall): AbortSignal {
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

  // As the client over HTTP does: idle connections are used again, and after a
  // failure on one of them the others are closed too.
  private async send<Answer>(
    run: () => Promise<Answer>,
    signal: AbortSignal,
  ): Promise<Answer> {
    const kept = this.idle.pop();
    const connection = kept ?? {isSilent: false};
    this.open.add(connection);
    try {
      await waitFor(this.clock, LATENCY_MS, signal);
      if (this.isRefused) throw new StoreError('refused', 'none');
      const answer = connection.isSilent ? undefined : await run();
      if (connection.isSilent) await waitFor(this.clock, Infinity, signal);
      signal.throwIfAborted();
      this.idle.push(connection);
      return answer!;
    } catch (error) {
      this.open.delete(connection);
      if (kept) this.idle = [];
      throw error;
    }
  }
}
