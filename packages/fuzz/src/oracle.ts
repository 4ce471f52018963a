import {computeChatAnswer, computeCompletion} from '@hollowstack/stand-ins';
import {getProblem, type FuzzHarness} from './fuzz-harness.ts';
import type {SentRequest} from './sent-request.ts';

/** A violated invariant, with the request or process at which it was seen. */
export interface Violation {
  readonly invariant: string;
  readonly detail: string;
}

const OK = 200;
const MODEL = 'assistant';
const TOKENS = {chat: 24, summary: 120};
/** Milliseconds after its deadline by which a caller must have its final answer. */
const ANSWER_MARGIN_MS = 300;
/** Milliseconds after an upstream is listed as leaving in which it may still get work. */
const LEAVING_MARGIN_MS = 3000;

/** Compares the outcomes of requests with the work logs of the stand-ins; returns all violations. */
export function checkInvariants(harness: FuzzHarness): Violation[] {
  return [
    ...harness.requests.flatMap(request => checkAnswered(request)),
    ...harness.requests.flatMap(request => checkContent(request)),
    ...checkNotRun(harness),
    ...checkAtMostOnce(harness),
    ...checkLeavingUpstreams(harness),
    ...checkConfiguration(harness),
  ];
}

function checkAnswered(request: SentRequest): Violation[] {
  if (request.isCallerDisconnected) return [];
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

function checkContent(request: SentRequest): Violation[] {
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
    const isExpected = outcome.isComplete
      ? outcome.text === expected
      : expected.startsWith(outcome.text);
    if (!isExpected) {
      return [createViolation('streams are whole', request, outcome.text)];
    }
    if (!outcome.isComplete && !outcome.problem && !request.isInstanceFaulted) {
      return [createViolation('streams have an end', request, outcome.text)];
    }
  }
  return [];
}

function checkNotRun(harness: FuzzHarness): Violation[] {
  const ranIds = new Set(
    harness.system
      .listStandIns()
      .flatMap(({workLog}) => workLog.listRecords())
      .map(({requestId}) => requestId),
  );
  return harness.requests.flatMap(request => {
    const problem = request.outcome && getProblem(request.outcome);
    if (problem?.ran !== 'no' || !ranIds.has(problem.requestId)) return [];
    return [
      createViolation('ran: no means not run', request, problem.requestId),
    ];
  });
}

function checkAtMostOnce(harness: FuzzHarness): Violation[] {
  const bookings = harness.requests.filter(({kind}) => kind === 'booking');
  return bookings.flatMap(request => {
    const body = JSON.stringify({id: request.subject});
    const runCount = harness.system.bookings
      .map(({standIn}) => standIn.getRunCount(body))
      .reduce((sum, count) => sum + count, 0);
    if (runCount > 1) {
      return [
        createViolation('at most once', request, `ran ${runCount} times`),
      ];
    }
    const {outcome} = request;
    const isSuccess =
      outcome?.type === 'answer' && outcome.answer.status === OK;
    if (isSuccess && runCount === 0) {
      return [createViolation('no result is made up', request, 'never ran')];
    }
    return [];
  });
}

function checkLeavingUpstreams(harness: FuzzHarness): Violation[] {
  return harness.leavingRecords.flatMap(({upstream, fromMs, untilMs}) => {
    const leavingUpstream = harness
      .listUpstreams()
      .find(candidate => candidate.upstream.id === upstream);
    const lateRecords = leavingUpstream?.standIn.workLog
      .listRecords()
      .filter(
        ({startedAtMs}) =>
          startedAtMs > fromMs + LEAVING_MARGIN_MS && startedAtMs < untilMs,
      );
    if (!lateRecords || lateRecords.length === 0 || harness.wasListUnreadable)
      return [];
    return [
      {
        invariant: 'a leaving upstream gets no new work',
        detail: `${upstream}: ${lateRecords.length} after ${LEAVING_MARGIN_MS} ms`,
      },
    ];
  });
}

function checkConfiguration(harness: FuzzHarness): Violation[] {
  const reverted = harness.revisionRegressions.map(detail => ({
    invariant: 'a configuration never reverts',
    detail,
  }));
  // A change that a restore removed from the store is lost if no instance that had it in
  // force is left; docs/PROOFS.md documents this.
  const surviving = harness.acceptedChanges.filter(
    ({instancesInForce}) =>
      !harness.wasRestored ||
      harness.system.instances.some(({id}) => instancesInForce.has(id)),
  );
  const revisionsInForce = harness.system.instances.map(({daemon}) =>
    daemon.parts.holder.getRevision(),
  );
  const newest = Math.max(
    ...revisionsInForce,
    ...surviving.map(({revision}) => revision),
  );
  const behind = harness.system.instances
    .filter(({daemon}) => daemon.parts.holder.getRevision() < newest)
    .map(({id, daemon}) => ({
      invariant: 'an accepted configuration is in force everywhere',
      detail: `${id} has ${daemon.parts.holder.getRevision()}, accepted was ${newest}`,
    }));
  const revisions = harness.acceptedChanges
    .filter(({revision}) => revision > 1)
    .map(({revision}) => revision);
  const hasDuplicates = new Set(revisions).size < revisions.length;
  const duplicates = hasDuplicates
    ? [{invariant: 'a revision is one change', detail: revisions.join(', ')}]
    : [];
  return [...reverted, ...behind, ...duplicates];
}

function createViolation(
  invariant: string,
  request: SentRequest,
  detail: string,
): Violation {
  const {kind, subject, instance, outcome} = request;
  const problem = outcome && getProblem(outcome);
  return {
    invariant,
    detail: `${kind} "${subject}" at ${instance}: ${detail} ${problem ? JSON.stringify(problem) : ''}`,
  };
}
