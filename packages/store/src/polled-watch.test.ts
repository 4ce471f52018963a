import assert from 'node:assert/strict';
import {test, type TestContext} from 'node:test';
import {ManualClock, waitFor} from '@hollowstack/clock';
import {SilentEventLogger} from '@hollowstack/logger';
import {
  StoreError,
  StoreRefusalError,
  createPrefixRange,
  type KeyRange,
  type WatchEvent,
} from './key-value-store.ts';
import {PolledWatch, type WatchCall} from './polled-watch.ts';

const TIMEOUT_MARGIN_MS = 400;
const LATENCY_MS = 4;
const FAST_RANGE: KeyRange = {
  ...createPrefixRange('fast/'),
  watchTiming: {
    waitMs: 1000,
    batchDelayMs: 0,
    timeoutMarginMs: TIMEOUT_MARGIN_MS,
  },
};
const SLOW_RANGE: KeyRange = {
  ...createPrefixRange('slow/'),
  watchTiming: {
    waitMs: 12_000,
    batchDelayMs: 0,
    timeoutMarginMs: TIMEOUT_MARGIN_MS,
  },
};

/** A store whose calls can hang as on dead connections. */
class LongPollStore {
  latencyMs = LATENCY_MS;
  isUnavailable = false;
  refusal: StoreRefusalError | undefined;
  callCount = 0;
  private readonly clock: ManualClock;
  private readonly events: WatchEvent[] = [];
  private readonly waiting = new Set<() => void>();
  private silencedCallCount = 0;

  constructor(clock: ManualClock) {
    this.clock = clock;
  }

  put(key: string): void {
    const modRevision = this.events.length + 1;
    this.events.push({type: 'put', key, value: '', modRevision});
    for (const wake of this.waiting) wake();
  }

  /** Makes the calls that wait now hang, as if their connections were dead. */
  silenceCalls(): void {
    this.silencedCallCount = this.callCount;
  }

  async answerCall(call: WatchCall) {
    const number = this.callCount++;
    const endMs = this.clock.getNow() + call.waitMs;
    for (;;) {
      const isHanging = this.isUnavailable || number < this.silencedCallCount;
      if (isHanging) await waitFor(this.clock, Infinity, call.signal);
      if (this.refusal) throw this.refusal;
      const events = this.events.filter(
        ({key, modRevision}) =>
          key.startsWith(call.range.start) && modRevision > call.sinceRevision,
      );
      if (events.length > 0 || this.clock.getNow() >= endMs) {
        const storeRevision = this.events.length;
        await waitFor(this.clock, this.latencyMs, call.signal);
        return {events, storeRevision};
      }
      await this.waitForChange(endMs, call.signal);
    }
  }

  private async waitForChange(
    endMs: number,
    signal: AbortSignal,
  ): Promise<void> {
    const wakeController = new AbortController();
    const wake = () => wakeController.abort();
    this.waiting.add(wake);
    const leftMs = endMs - this.clock.getNow();
    await waitFor(
      this.clock,
      leftMs,
      AbortSignal.any([signal, wakeController.signal]),
    ).catch(() => signal.throwIfAborted());
    this.waiting.delete(wake);
  }
}

function startWatch(t: TestContext, ranges: readonly KeyRange[]) {
  const clock = new ManualClock();
  const store = new LongPollStore(clock);
  const watch = new PolledWatch({
    clock,
    logger: new SilentEventLogger(),
    callStore: call => store.answerCall(call),
  });
  const endController = new AbortController();
  t.after(() => endController.abort(new Error('done')));
  const keys: string[] = [];
  const progress = new Map<string, number>();
  const read = async () => {
    const changes = watch.watchRanges(
      ranges,
      0,
      endController.signal,
      ({start, knownUntilMs}) => progress.set(start, knownUntilMs),
    );
    for await (const events of changes) {
      keys.push(...events.map(({key}) => key));
    }
  };
  const failed = read().catch((error: unknown) => error);
  return {clock, store, watch, keys, progress, failed, endController};
}

test('a call on a dead connection is repeated, and no change is missed', async t => {
  const {clock, store, keys} = startWatch(t, [FAST_RANGE]);
  await clock.advance(100);
  store.silenceCalls();
  store.put('fast/a');
  store.put('fast/b');
  await clock.advance(1000 + TIMEOUT_MARGIN_MS + LATENCY_MS);
  assert.deepEqual(keys, ['fast/a', 'fast/b']);
});

test('when a call times out, the calls for the other ranges are repeated as well', async t => {
  const {clock, store, keys} = startWatch(t, [FAST_RANGE, SLOW_RANGE]);
  await clock.advance(100);
  store.silenceCalls();
  store.put('slow/a');
  await clock.advance(1000 + TIMEOUT_MARGIN_MS + LATENCY_MS);
  assert.deepEqual(keys, ['slow/a']);
});

test('the watch fails after two consecutive unanswered calls', async t => {
  const {clock, store, failed} = startWatch(t, [FAST_RANGE]);
  await clock.advance(100);
  const callsBefore = store.callCount;
  store.isUnavailable = true;
  await clock.advance(4000);
  assert.ok((await failed) instanceof Error);
  // The call that was already waiting is one of the two.
  assert.equal(store.callCount - callsBefore, 1);
});

test('the watch fails at once if the store has lost its history', async t => {
  const {clock, store, failed} = startWatch(t, [FAST_RANGE]);
  await clock.advance(100);
  const callsBefore = store.callCount;
  store.refusal = new StoreRefusalError('answered 410', 'none');
  store.put('fast/a');
  await clock.advance(1);
  assert.ok((await failed) instanceof StoreError);
  assert.equal(store.callCount, callsBefore);
});

test('a store that becomes slow is not mistaken for an unavailable one', async t => {
  const {clock, store, keys, failed} = startWatch(t, [FAST_RANGE]);
  let hasFailed = false;
  void failed.then(() => (hasFailed = true));
  for (const latencyMs of [200, 600, 900, 4]) {
    store.latencyMs = latencyMs;
    await clock.advance(8000);
    store.put(`fast/${latencyMs}`);
    await clock.advance(3000);
  }
  assert.equal(hasFailed, false);
  assert.deepEqual(keys, ['fast/200', 'fast/600', 'fast/900', 'fast/4']);
});

test('a watch ends when its signal aborts', async t => {
  const {clock, failed, endController} = startWatch(t, [
    FAST_RANGE,
    SLOW_RANGE,
  ]);
  await clock.advance(100);
  const reason = new Error('aborted');
  endController.abort(reason);
  await clock.advance(1);
  assert.equal(await failed, reason);
});

test('the first call of a watch has a short wait, the following ones the full wait', async t => {
  const {clock, store} = startWatch(t, [SLOW_RANGE]);
  await clock.advance(100);
  assert.equal(store.callCount, 2);
  await clock.advance(5000);
  assert.equal(store.callCount, 2);
});

test('an answer without changes confirms that there were none until the end of its wait', async t => {
  const {clock, progress} = startWatch(t, [FAST_RANGE]);
  const startMs = clock.getNow();
  await clock.advance(100);
  assert.equal(progress.get('fast/'), startMs + 50);
  await clock.advance(1000);
  assert.equal(progress.get('fast/'), startMs + 50 + LATENCY_MS + 1000);
});

test('an answer with changes confirms completeness only up to when its call was sent', async t => {
  const {clock, store, progress, keys} = startWatch(t, [FAST_RANGE]);
  await clock.advance(100);
  const askedMs = progress.get('fast/')! + LATENCY_MS;
  await clock.advance(700);
  store.put('fast/a');
  await clock.advance(LATENCY_MS);
  assert.deepEqual(keys, ['fast/a']);
  assert.equal(progress.get('fast/'), askedMs);
});

test('after a change late in the wait of a call, the next call waits shorter, so that completeness is confirmed in time', async t => {
  const confirmWithinMs = 1400;
  const {clock, store, progress} = startWatch(t, [
    {
      ...FAST_RANGE,
      watchTiming: {
        waitMs: 1000,
        batchDelayMs: 600,
        timeoutMarginMs: TIMEOUT_MARGIN_MS,
        confirmWithinMs,
      },
    },
  ]);
  await clock.advance(900);
  store.put('fast/a');
  let oldestMs = 0;
  for (let step = 0; step < 300; step++) {
    await clock.advance(10);
    const ageMs = clock.getNow() - progress.get('fast/')!;
    oldestMs = Math.max(oldestMs, ageMs);
  }
  assert.ok(oldestMs < 1550, `${oldestMs} ms`);
});

test('a refresh fetches changes at once, even during the batch delay, and does not cancel probe or refresh calls', async t => {
  const {clock, store, watch, keys, progress} = startWatch(t, [
    {
      ...FAST_RANGE,
      watchTiming: {
        waitMs: 1000,
        batchDelayMs: 600,
        timeoutMarginMs: TIMEOUT_MARGIN_MS,
      },
    },
  ]);
  await clock.advance(200);
  watch.refresh();
  await clock.advance(2 * LATENCY_MS);
  assert.ok(clock.getNow() - progress.get('fast/')! <= 2 * LATENCY_MS);
  store.put('fast/a');
  await clock.advance(50);
  store.put('fast/b');
  watch.refresh();
  await clock.advance(2 * LATENCY_MS);
  assert.deepEqual(keys, ['fast/a', 'fast/b']);
  store.latencyMs = 300;
  await clock.advance(2000);
  const {callCount} = store;
  for (let step = 0; step < 6; step++) {
    watch.refresh();
    await clock.advance(100);
  }
  assert.ok(store.callCount - callCount <= 3, `${store.callCount - callCount}`);
});
