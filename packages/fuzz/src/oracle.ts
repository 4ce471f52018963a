import {computeChatAnswer, computeCompletion} from '@hollowstack/stand-ins';
import {getProblem, type FuzzHarness} from './fuzz-harness.ts';
import type {SentRequest} from './sent-request.ts';

/** A promise that was not kept. */
export interface Violation {
  readonly invariant: string;
  readonly detail: string;
}

const OK = 200;
const MODEL = 'assistant';
const TOKENS = {chat: 24, summary: 120};
/** Milliseconds past its deadline at which a caller must have its final answer. */
const ANSWER_MARGIN_MS = 300;
/** Milliseconds after which a leaving upstream must get no new work. */
const LEAVING_MARGIN_MS = 3000;

/** Holds what callers were told against what the stand-ins have recorded. */
export function checkInvariants(world: FuzzHarness): Violation[] {
  return [
    ...world.requests.flatMap(request => checkAnswered(request)),
    ...world.requests.flatMap(request => checkWhole(request)),
    ...checkNotRun(world),
    ...checkAtMostOnce(world),
    ...checkLeaving(world),
    ...checkConfiguration(world),
  ];
}

function checkAnswered(request: SentRequest): Violation[] {
  if (request.isCallerGone) return [];
  const {outcome, isInstanceFaulted, sentAtMs, settledAtMs, deadlineMs} =
    request;
  if (isInstanceFaulted) return [];
  if (outcome === undefined) {
    return [createViolation('every caller is answered', request, 'nothing')];
  }
  if (outcome.type === 'broken') {
    return [createViolation('no request is cut', request, outcome.message)];
  }
  const tookMs = settledAtMs - sentAtMs;
  if (tookMs <= deadlineMs + ANSWER_MARGIN_MS) return [];
  return [
    createViolation('answers come at once', request, `after ${tookMs} ms`),
  ];
}

function checkWhole(request: SentRequest): Violation[] {
  const {outcome, pipeline, subject} = request;
  if (!outcome || !pipeline) return [];
  const expected =
    pipeline === 'chat'
      ? computeChatAnswer(MODEL, subject, TOKENS.chat)
      : computeCompletion(MODEL, subject, TOKENS.summary);
  if (outcome.type === 'answer' && outcome.answer.status === OK) {
    const {output} = outcome.answer.body as {output: {text: string}};
    if (output.text === expected) return [];
    return [createViolation('answers are whole', request, output.text)];
  }
  if (outcome.type === 'stream') {
    const isRight = outcome.isWhole
      ? outcome.text === expected
      : expected.startsWith(outcome.text);
    if (!isRight) {
      return [createViolation('streams are whole', request, outcome.text)];
    }
    if (!outcome.isWhole && !outcome.problem && !request.isInstanceFaulted) {
      return [createViolation('streams have an end', request, outcome.text)];
    }
  }
  return [];
}

function checkNotRun(world: FuzzHarness): Violation[] {
  const ranIds = new Set(
    world.system
      .listStandIns()
      .flatMap(({workLog}) => workLog.listRecords())
      .map(({requestId}) => requestId),
  );
  return world.requests.flatMap(request => {
    const problem = request.outcome && getProblem(request.outcome);
    if (problem?.ran !== 'no' || !ranIds.has(problem.requestId)) return [];
    return [
      createViolation('ran: no means not run', request, problem.requestId),
    ];
  });
}

function checkAtMostOnce(world: FuzzHarness): Violation[] {
  const bookings = world.requests.filter(({kind}) => kind === 'booking');
  return bookings.flatMap(request => {
    const body = JSON.stringify({id: request.subject});
    const runs = world.system.bookings
      .map(({standIn}) => standIn.getRunCount(body))
      .reduce((sum, count) => sum + count, 0);
    if (runs > 1) {
      return [createViolation('at most once', request, `ran ${runs} times`)];
    }
    const {outcome} = request;
    const isSuccess =
      outcome?.type === 'answer' && outcome.answer.status === OK;
    if (isSuccess && runs === 0) {
      return [createViolation('no result is made up', request, 'never ran')];
    }
    return [];
  });
}

function checkLeaving(world: FuzzHarness): Violation[] {
  return world.leavingRecords.flatMap(({upstream, fromMs, untilMs}) => {
    const found = world
      .listUpstreams()
      .find(candidate => candidate.upstream.id === upstream);
    const late = found?.standIn.workLog
      .listRecords()
      .filter(
        ({startedAtMs}) =>
          startedAtMs > fromMs + LEAVING_MARGIN_MS && startedAtMs < untilMs,
      );
    if (!late || late.length === 0 || world.isListHidden) return [];
    return [
      {
        invariant: 'a leaving upstream gets no new work',
        detail: `${upstream}: ${late.length} after ${LEAVING_MARGIN_MS} ms`,
      },
    ];
  });
}

function checkConfiguration(world: FuzzHarness): Violation[] {
  const reverted = world.violations.map(detail => ({
    invariant: 'a configuration never reverts',
    detail,
  }));
  // A change that the store lost and whose every witness is gone is lost for
  // good; docs/PROOFS.md says so.
  const kept = world.acceptedChanges.filter(
    ({instancesInForce}) =>
      !world.wasRestored ||
      world.system.instances.some(({id}) => instancesInForce.has(id)),
  );
  const held = world.system.instances.map(({daemon}) =>
    daemon.parts.holder.getRevision(),
  );
  const newest = Math.max(...held, ...kept.map(({revision}) => revision));
  const behind = world.system.instances
    .filter(({daemon}) => daemon.parts.holder.getRevision() < newest)
    .map(({id, daemon}) => ({
      invariant: 'an accepted configuration is in force everywhere',
      detail: `${id} has ${daemon.parts.holder.getRevision()}, accepted was ${newest}`,
    }));
  const revisions = world.acceptedChanges
    .filter(({revision}) => revision > 1)
    .map(({revision}) => revision);
  const isDoubled = new Set(revisions).size < revisions.length;
  const doubled = isDoubled
    ? [{invariant: 'a revision is one change', detail: revisions.join(', ')}]
    : [];
  return [...reverted, ...behind, ...doubled];
}

function createViolation(
  promise: string,
  request: SentRequest,
  detail: string,
): Violation {
  const {kind, subject, instance, outcome} = request;
  const problem = outcome && getProblem(outcome);
  return {
    invariant: promise,
    detail: `${kind} "${subject}" at ${instance}: ${detail} ${problem ? JSON.stringify(problem) : ''}`,
  };
}
