import {ManualClock} from '@hollowstack/clock';
import assert from 'node:assert/strict';
import {test} from 'node:test';
import {TurnQueue} from './turn-queue.ts';

const LIMITS = {
  burstMs: 400,
  standingMs: 100,
  standingAfterMs: 500,
  overdueMs: 900,
};

/** A queue whose turns the test ends itself. */
class QueueTester {
  readonly log: string[] = [];
  readonly queue: TurnQueue;
  private readonly clock = new ManualClock();
  private turnEnds: Array<() => void> = [];
  private nextWork = 1;

  constructor() {
    this.queue = new TurnQueue({
      clock: this.clock,
      scheduleTurnEnd: callback => this.turnEnds.push(callback),
      limits: LIMITS,
    });
  }

  add(count = 1): void {
    for (let index = 0; index < count; index++) {
      const work = this.nextWork++;
      this.queue.add({
        begin: () => this.log.push(`begin ${work}`),
        reject: () => this.log.push(`reject ${work}`),
      });
    }
  }

  /** Ends a turn that took some milliseconds; returns what was begun or rejected since the last one. */
  endTurn(durationMs: number): string[] {
    this.clock.pause(durationMs);
    for (const endTurn of this.turnEnds.splice(0)) endTurn();
    return this.log.splice(0);
  }

  isIdle(): boolean {
    return this.turnEnds.length === 0;
  }
}

test('work begins at once while nothing else arrives', () => {
  const tester = new QueueTester();
  tester.add();
  assert.deepEqual(tester.log.splice(0), ['begin 1']);
  tester.endTurn(1);
  tester.endTurn(1);
  assert.ok(tester.isIdle());
  tester.add();
  assert.deepEqual(tester.log, ['begin 2']);
});

test('work that arrives together begins one piece a turn, in turns without arrivals', () => {
  const tester = new QueueTester();
  tester.add(3);
  assert.deepEqual(tester.endTurn(1), ['begin 1']);
  assert.deepEqual(tester.endTurn(1), ['begin 2']);
  tester.add();
  assert.deepEqual(tester.endTurn(1), []);
  assert.deepEqual(tester.endTurn(1), ['begin 3']);
  assert.deepEqual(tester.endTurn(1), ['begin 4']);
});

test('work begins although something arrives in every turn', () => {
  const tester = new QueueTester();
  tester.add(2);
  const begun: string[] = [];
  for (let turn = 0; turn < 100; turn++) {
    tester.queue.recordArrival();
    begun.push(...tester.endTurn(1));
  }
  assert.deepEqual(begun, ['begin 1', 'begin 2']);
});

// Begins work 20 ms apart while some is always waiting.
function runBacklog(tester: QueueTester, count: number): void {
  tester.add(2);
  tester.endTurn(1);
  for (let turn = 0; turn < count; turn++) {
    tester.add();
    tester.endTurn(10);
    tester.endTurn(10);
  }
}

test('work is rejected at once if it would wait longer than in a burst', () => {
  const tester = new QueueTester();
  runBacklog(tester, 20);
  const {intervalMs} = tester.queue.getState();
  assert.ok(intervalMs > 10 && intervalMs < 20, `${intervalMs}`);
  tester.add(50);
  const rejected = tester.log.filter(line => line.startsWith('reject'));
  const maxWaiting = Math.floor(LIMITS.burstMs / intervalMs);
  assert.equal(tester.queue.getState().waitingCount, maxWaiting);
  assert.equal(rejected.length, 50 - maxWaiting + 1);
});

test('the limit is shorter once work has always been waiting for some time', () => {
  const tester = new QueueTester();
  runBacklog(tester, 60);
  const {intervalMs} = tester.queue.getState();
  tester.add(50);
  assert.equal(
    tester.queue.getState().waitingCount,
    Math.floor(LIMITS.standingMs / intervalMs),
  );
});

test('a stall of the process rejects nothing that can begin after it', () => {
  const tester = new QueueTester();
  tester.add(3);
  tester.endTurn(600);
  tester.add(10);
  tester.endTurn(1);
  tester.endTurn(1);
  assert.ok(tester.queue.getState().intervalMs <= 10);
  assert.deepEqual(tester.log, []);
});

test('work that has waited longer than any prediction allows is rejected', () => {
  const tester = new QueueTester();
  tester.add(3);
  assert.deepEqual(tester.endTurn(LIMITS.overdueMs + 1), ['begin 1']);
  assert.deepEqual(tester.endTurn(1), ['reject 2', 'reject 3']);
});

test('a slow period is forgotten after a second without waiting work', () => {
  const tester = new QueueTester();
  runBacklog(tester, 60);
  for (let turn = 0; turn < 100; turn++) tester.endTurn(20);
  assert.ok(tester.isIdle());
  tester.add(30);
  assert.equal(tester.queue.getState().waitingCount, 29);
});
