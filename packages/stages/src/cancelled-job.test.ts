// Guards against stage work that goes on after all requests that need it were given up.
import {addAbortHandler} from '@hollowstack/cancellation';
import {ManualClock} from '@hollowstack/clock';
import type {StageOutcome} from '@hollowstack/types';
import assert from 'node:assert/strict';
import {test} from 'node:test';
import type {StageCall} from './stage-caller.ts';
import type {StagePiece} from './stage-protocol.ts';
import {createCallerCoordinator} from './test-utils/create-coordinator.ts';
import {createRankJob, createRankUpstream} from './test-utils/rank-service.ts';

const RANK = {name: 'rank', callMs: 1000, pieceMs: 0, batchSize: 4};
const CONNECT_MS = 100;
/** Milliseconds after a cancellation within which upstreams are let go of. */
const RELEASE_BOUND_MS = 500;

interface RecordedCall {
  readonly id: string;
  readonly sent: readonly StagePiece[];
  endedAtMs: number | undefined;
}

/** A coordinator whose calls connect for a while and are then answered after `answerMs`. */
function createSystem(answerMs: number) {
  const clock = new ManualClock(0);
  const calls: RecordedCall[] = [];
  const released: string[] = [];
  const coordinator = createCallerCoordinator(clock, [RANK], {
    runPieces: async ({id}, {takePieces, signal}: StageCall) => {
      await new Promise<void>(resolve => clock.schedule(CONNECT_MS, resolve));
      const sent = signal.aborted ? [] : takePieces();
      const call: RecordedCall = {id, sent, endedAtMs: undefined};
      calls.push(call);
      if (sent.length === 0) return {type: 'not-run', isOtherUpstream: false};
      try {
        await new Promise<void>((resolve, reject) => {
          clock.schedule(answerMs, resolve);
          addAbortHandler(signal, reject);
        });
      } finally {
        call.endedAtMs = clock.getNow();
      }
      const outcomes = sent.map(
        ({requestId}) =>
          ({type: 'made', handle: requestId, address: id}) as const,
      );
      return {type: 'outcomes', outcomes};
    },
    releaseResults: async (_, handles) => {
      released.push(...handles);
    },
    close: () => {},
  });
  coordinator.setUpstreams([createRankUpstream('only')]);
  const outcomes = new Map<string, StageOutcome>();
  const runJob = (id: string) => {
    const job = createRankJob(id, {pieceCount: 1, dueInMs: 3000});
    void coordinator.runJob(job).then(outcome => outcomes.set(id, outcome));
  };
  return {clock, coordinator, calls, released, outcomes, runJob};
}

function listSentIds(calls: readonly RecordedCall[]): string[] {
  return calls.flatMap(({sent}) => sent.map(({requestId}) => requestId));
}

test('a job whose cancellation arrives before it does not run', async () => {
  const {clock, coordinator, calls, outcomes, runJob} = createSystem(1000);
  coordinator.cancelJob('early');
  runJob('early');
  await clock.advance(CONNECT_MS + 10);
  assert.deepEqual(calls, []);
  const outcome = outcomes.get('early');
  assert.equal(outcome?.type === 'failed' && outcome.failure, 'cancelled');
});

test('a job that is cancelled while its call connects is not sent', async () => {
  const {clock, coordinator, calls, runJob} = createSystem(1000);
  runJob('j1');
  await clock.advance(CONNECT_MS / 2);
  coordinator.cancelJob('j1');
  await clock.advance(2 * CONNECT_MS);
  assert.deepEqual(listSentIds(calls), []);
});

test('a cancelled job is left out of a call that another job needs', async () => {
  const {clock, coordinator, calls, outcomes, runJob} = createSystem(1000);
  runJob('stays');
  runJob('leaves');
  await clock.advance(CONNECT_MS / 2);
  coordinator.cancelJob('leaves');
  await clock.advance(3000);
  assert.deepEqual(listSentIds(calls), ['stays']);
  assert.equal(outcomes.get('stays')?.type, 'made');
});

test('a call in flight is closed soon after its last job was cancelled', async () => {
  const {clock, coordinator, calls, runJob} = createSystem(3000);
  runJob('j1');
  runJob('j2');
  await clock.advance(200);
  coordinator.cancelJob('j1');
  await clock.advance(RELEASE_BOUND_MS);
  assert.equal(calls[0].endedAtMs, undefined, 'closed though a job needs it');
  const cancelledAtMs = clock.getNow();
  coordinator.cancelJob('j2');
  await clock.advance(RELEASE_BOUND_MS);
  assert.ok(calls[0].endedAtMs! <= cancelledAtMs + RELEASE_BOUND_MS);
});

test('an upstream whose call was closed for want of jobs gets the next one', async () => {
  const {clock, coordinator, calls, outcomes, runJob} = createSystem(900);
  runJob('j1');
  await clock.advance(200);
  coordinator.cancelJob('j1');
  await clock.advance(RELEASE_BOUND_MS);
  runJob('j2');
  await clock.advance(2000);
  assert.deepEqual(listSentIds(calls), ['j1', 'j2']);
  assert.equal(outcomes.get('j2')?.type, 'made');
});

test('results of a call that is answered soon after its jobs were cancelled are released', async () => {
  const {clock, coordinator, calls, released, runJob} = createSystem(250);
  runJob('j1');
  await clock.advance(CONNECT_MS + 10);
  coordinator.cancelJob('j1');
  await clock.advance(1000);
  assert.equal(calls[0].endedAtMs, CONNECT_MS + 250);
  assert.deepEqual(released, ['j1']);
});

test('the memory of results that a closed call may leave counts as used until they expire', async () => {
  const {clock, coordinator, runJob} = createSystem(900);
  runJob('j1');
  await clock.advance(200);
  coordinator.cancelJob('j1');
  await clock.advance(RELEASE_BOUND_MS);
  assert.equal(coordinator.countUsedBytes('only'), 1);
  await clock.advance(6000);
  runJob('j2');
  await clock.advance(CONNECT_MS);
  assert.equal(coordinator.countUsedBytes('only'), 1);
});
