import {DurationEstimator} from '@hollowstack/admission';
import {waitFor, type Clock} from '@hollowstack/clock';
import {HollowstackError} from '@hollowstack/errors';
import type {Route, StageCapacity} from '@hollowstack/routes';
import type {
  BrokenCall,
  StageFailure,
  StageOutcome,
  StageResult,
} from '@hollowstack/types';
import type {JobFailure} from './job-state.ts';
import type {StageDispatcher} from './stage-dispatcher.ts';
import {computeSlackMs, type StageProgress} from './stage-timing.ts';

/** Assumed time from the end of the stages to the first event, until it is learned. */
const DEFAULT_REQUEST_MS = 120;

/**
 * Results of a stage that take at least this share of an upstream's result memory count as
 * large, and the stage is deferred. For smaller results a delay would save almost no memory.
 */
const LARGE_RESULT_SHARE = 0.04;
/** Interval at which a deferred stage checks the progress of the others. */
const SLACK_CHECK_MS = 40;
/** Minimum share of its predicted time that a running stage is assumed to still need. */
const MIN_REMAINING_SHARE = 0.2;
/**
 * Share by which the first event of a request may come later than predicted: of the requests
 * with prompts of 20,000 to 65,000 tokens, nine in ten took at most 1.15 times the median.
 */
const REQUEST_RESERVE_SHARE = 0.2;
/**
 * Assumed ratio of a stage's duration, queueing included, to its work, until it is
 * learned.
 */
const DEFAULT_QUEUEING_FACTOR = 1.5;

/** Input of RequestStages. */
export interface RequestStagesInput {
  readonly requestId: string;
  readonly route: Route;
  /** Capacity of the upstreams of each stage; undefined if it is not known. */
  readonly capacities: readonly (StageCapacity | undefined)[];
  /** Pieces of each stage; a stage with 0 is skipped. */
  readonly pieceCounts: readonly number[];
  /** Key of the source data of pieces without inputs. */
  readonly key: string | undefined;
  /** Milliseconds until the request's objective. */
  readonly dueInMs: number;
  /** Milliseconds until the request is given up. */
  readonly remainingMs: number;
  readonly priority: number;
  /** Whether stages with large results start as late as their slack allows. */
  readonly defersLargeStages: boolean;
  /** Whether the caller has time for a retry. */
  readonly mayRetry: boolean;
  /** Tokens of the prompt that no other request shares. */
  readonly ownTokens: number;
  /**
   * Whether upstreams crashed while they ran the request, so that its calls are not
   * shared.
   */
  readonly isIsolated: boolean;
}

/** A stage failed. */
export class StageError extends HollowstackError {
  readonly failure: StageFailure;
  /** Calls whose connection broke; the request may have crashed their upstreams. */
  readonly brokenCalls: readonly BrokenCall[];

  constructor(
    message: string,
    {failure, retryAfterMs, brokenCalls = []}: JobFailure,
  ) {
    const kind =
      failure === 'late' ? 'deadline-exceeded' : 'upstream-unavailable';
    super(kind, message, {ran: 'no', retryAfterMs});
    this.name = 'StageError';
    this.failure = failure;
    this.brokenCalls = brokenCalls;
  }
}

/** Results of the stages that no other stage reads; the request itself reads them. */
export interface FinalStageResults {
  readonly results: readonly StageResult[];
  /** Bytes stored in each failure domain. */
  readonly bytesByDomain: ReadonlyMap<string, number>;
}

/** Runs the stages of one request in dependency order and releases their results. */
export class RequestStages {
  private readonly input: RequestStagesInput;
  private readonly dispatcher: StageDispatcher;
  private readonly clock: Clock;
  /** Learns the duration of each stage of a route, queueing included. */
  private readonly durations: DurationEstimator;
  private readonly startedAtMs: number;
  private failureDomain: string | undefined;
  /**
   * Milliseconds from the end of the stages to the first event, as the coordinator
   * predicts.
   */
  private firstMs: number | undefined;
  /** Id of the planner that admitted the request. */
  private plannerId: string | undefined;
  private stageStartsMs: Array<number | undefined> = [];
  private areDone: boolean[] = [];
  private readonly tookMs: Array<number | undefined> = [];
  private runs: Array<Promise<readonly StageResult[]> | undefined> = [];
  private readonly unreleased = new Map<number, readonly StageResult[]>();
  private readersLeft: number[] = [];

  constructor(
    input: RequestStagesInput,
    dispatcher: StageDispatcher,
    clock: Clock,
    durations: DurationEstimator,
  ) {
    this.input = input;
    this.dispatcher = dispatcher;
    this.clock = clock;
    this.durations = durations;
    this.startedAtMs = clock.getNow();
  }

  /**
   * Asks the coordinator whether the stages may start.
   *
   * @returns Predicted milliseconds until the first event of the answer.
   * @throws HollowstackError if the request is not admitted.
   */
  async admit(): Promise<number> {
    const {input} = this;
    const decision = await this.dispatcher.admitRequest({
      requestId: input.requestId,
      route: input.route.name,
      steps: input.route.stages.map(({service, after, resultBytes}, index) => ({
        service,
        stageKey: this.createStageKey(index),
        resultBytes,
        after,
        pieceCount: input.pieceCounts[index] ?? 0,
      })),
      requestMs: this.predictRequestMs(),
      ownTokens: input.ownTokens,
      dueInMs: input.dueInMs,
      remainingMs: input.remainingMs,
      priority: input.priority,
      mayComeBack: input.mayRetry,
    });
    this.firstMs = decision.firstMs;
    this.plannerId = decision.plannerId;
    if (decision.isAdmitted) return decision.predictedMs;
    const {predictedMs, retryAfterMs, reason} = decision;
    if (reason !== undefined) {
      throw new HollowstackError('upstream-unavailable', reason, {
        ran: 'no',
        retryAfterMs,
      });
    }
    throw new HollowstackError(
      'overloaded',
      `predicted ${Math.round(predictedMs)} ms, objective in ${Math.round(input.dueInMs)} ms`,
      {ran: 'no', retryAfterMs},
    );
  }

  /** Sets the failure domain of the upstream that will read the last results. */
  setFailureDomain(failureDomain: string | undefined): void {
    this.failureDomain = failureDomain;
  }

  /**
   * Runs all stages and resolves with the results that no other stage reads. If results of a
   * stage are lost before they are read, all stages run once more.
   *
   * @throws HollowstackError if a stage fails.
   */
  async run(signal: AbortSignal): Promise<FinalStageResults> {
    try {
      return await this.runAll(signal);
    } catch (error) {
      const areInputsGone =
        error instanceof StageError && error.failure === 'input-gone';
      if (!areInputsGone || signal.aborted) throw error;
      return this.runAll(signal);
    }
  }

  private async runAll(signal: AbortSignal): Promise<FinalStageResults> {
    const {stages} = this.input.route;
    this.runs = [];
    this.stageStartsMs = [];
    this.areDone = stages.map((_, index) => !this.isNeeded(index));
    this.readersLeft = stages.map((_, index) => this.listReaders(index).length);
    const failureController = new AbortController();
    const combinedSignal = AbortSignal.any([signal, failureController.signal]);
    const runs = stages.map((_, index) => this.runStage(index, combinedSignal));
    for (const run of runs) run.catch(error => failureController.abort(error));
    const settled = await Promise.allSettled(runs);
    if (settled.some(({status}) => status === 'rejected')) {
      this.releaseAll();
      this.dispatcher.endRequest(this.input.requestId, this.plannerId);
      throw failureController.signal.reason;
    }
    const results: StageResult[] = [];
    const bytesByDomain = new Map<string, number>();
    for (const [index, stageResults] of this.unreleased) {
      results.push(...stageResults);
      for (const {failureDomain} of stageResults) {
        const bytes = bytesByDomain.get(failureDomain) ?? 0;
        bytesByDomain.set(failureDomain, bytes + stages[index].resultBytes);
      }
    }
    return {results, bytesByDomain};
  }

  /** Records the milliseconds from the send of the request, after its stages, to its first event. */
  recordFirstEvent(firstMs: number): void {
    this.durations.recordMs(this.createRequestKey(), firstMs);
    this.dispatcher.endRequest(this.input.requestId, this.plannerId, firstMs);
  }

  private predictRequestMs(): number {
    if (this.firstMs !== undefined) return this.firstMs;
    return this.durations.getMeanMs(
      this.createRequestKey(),
      DEFAULT_REQUEST_MS,
    );
  }

  private createRequestKey(): string {
    return `${this.input.route.name}/request`;
  }

  /** Renders the milliseconds from the start to the end of each stage, for the log. */
  renderDurations(): string {
    return this.input.route.stages
      .map((_, index) => `${index}:${this.tookMs[index] ?? '-'}`)
      .join(' ');
  }

  /**
   * Releases all remaining results; called once the request has read them or a stage has
   * failed.
   */
  releaseAll(): void {
    this.dispatcher.releaseResults([...this.unreleased.values()].flat());
    this.unreleased.clear();
  }

  private runStage(
    index: number,
    signal: AbortSignal,
  ): Promise<readonly StageResult[]> {
    this.runs[index] ??= this.runStageOnce(index, signal);
    return this.runs[index];
  }

  private async runStageOnce(
    index: number,
    signal: AbortSignal,
  ): Promise<readonly StageResult[]> {
    const {input} = this;
    const stage = input.route.stages[index];
    const sources = await Promise.all(
      stage.after.map(source => this.runStage(source, signal)),
    );
    const pieceCount = input.pieceCounts[index] ?? 0;
    if (pieceCount === 0) return [];
    signal.throwIfAborted();
    const inputs = sources.flat();
    await this.waitForLatestStart(index, signal);
    this.stageStartsMs[index] = this.clock.getNow();
    const {results, areInputsReleased = false} = await this.runJob(
      index,
      pieceCount,
      inputs,
      signal,
    );
    this.recordDone(index);
    this.unreleased.set(index, results);
    for (const source of stage.after) {
      this.recordRead(source, areInputsReleased);
    }
    return results;
  }

  private async runJob(
    index: number,
    pieceCount: number,
    inputs: readonly StageResult[],
    signal: AbortSignal,
  ): Promise<Extract<StageOutcome, {type: 'made'}>> {
    const {input} = this;
    const stage = input.route.stages[index];
    const passedMs = this.clock.getNow() - this.startedAtMs;
    const tailMs = this.computeTailMs(index);
    const isRead = this.listReaders(index).length > 0;
    const ownDomain = isRead ? undefined : this.failureDomain;
    const inputBytes = this.countInputBytes(index, inputs);
    const outcome = await this.dispatcher.runJob(
      {
        requestId: input.requestId,
        service: stage.service,
        stage: index,
        stageKey: this.createStageKey(index),
        pieceCount,
        key: stage.after.length === 0 ? input.key : undefined,
        inputs: inputs.map(({handle}) => handle),
        isOnlyReader: stage.after.every(
          source => this.listReaders(source).length === 1,
        ),
        resultBytes: stage.resultBytes,
        dueInMs: input.dueInMs - passedMs - tailMs,
        reserveMs: this.predictRequestMs() * REQUEST_RESERVE_SHARE,
        // Results that would come too late to be read need not be produced.
        remainingMs: input.remainingMs - passedMs - tailMs,
        priority: input.priority,
        failureDomain: chooseFailureDomain(inputs) ?? ownDomain,
        // Every piece reads all inputs.
        crossingBytes:
          inputs.length > 0
            ? inputBytes * pieceCount
            : stage.resultBytes * pieceCount,
        isIsolated: input.isIsolated || undefined,
      },
      signal,
      this.plannerId,
    );
    if (outcome.type === 'made') return outcome;
    throw new StageError(
      `stage ${index} (${stage.service}): ${outcome.message}`,
      outcome,
    );
  }

  // Large results occupy memory at their upstream from the start of the call until the request
  // has read them, so a stage with slack is deferred.
  private async waitForLatestStart(
    index: number,
    signal: AbortSignal,
  ): Promise<void> {
    if (!this.input.defersLargeStages || !this.hasLargeResults(index)) return;
    for (;;) {
      const slackMs = computeSlackMs(this.listProgress(), index);
      if (slackMs <= 0) return;
      await waitFor(this.clock, Math.min(slackMs, SLACK_CHECK_MS), signal);
    }
  }

  private hasLargeResults(index: number): boolean {
    const {route, capacities, pieceCounts} = this.input;
    const capacity = capacities[index];
    if (!capacity) return false;
    const bytes = route.stages[index].resultBytes * (pieceCounts[index] ?? 0);
    return bytes >= LARGE_RESULT_SHARE * capacity.resultBytes;
  }

  private listProgress(): StageProgress[] {
    const nowMs = this.clock.getNow();
    return this.input.route.stages.map(({after}, index) => {
      if (this.areDone[index]) return {after, remainingMs: 0};
      const predictedMs = this.predictStageMs(index);
      const startMs = this.stageStartsMs[index] ?? nowMs;
      const remainingMs = Math.max(
        predictedMs - (nowMs - startMs),
        predictedMs * MIN_REMAINING_SHARE,
      );
      return {after, remainingMs};
    });
  }

  private recordDone(index: number): void {
    this.areDone[index] = true;
    const tookMs = this.clock.getNow() - this.stageStartsMs[index]!;
    this.tookMs[index] = Math.round(tookMs);
    this.durations.recordMs(this.createStageKey(index), tookMs);
  }

  private predictStageMs(index: number): number {
    return this.durations.getMeanMs(
      this.createStageKey(index),
      DEFAULT_QUEUEING_FACTOR * this.computeStageMs(index),
    );
  }

  private createStageKey(index: number): string {
    return `${this.input.route.name}/${index}`;
  }

  private isNeeded(index: number): boolean {
    return (this.input.pieceCounts[index] ?? 0) > 0;
  }

  // Computes the minimum time from the end of a stage to the first event of the request.
  private computeTailMs(index: number): number {
    const readers = this.listReaders(index);
    if (readers.length === 0) return this.predictRequestMs();
    return Math.max(
      ...readers.map(
        reader => this.computeStageMs(reader) + this.computeTailMs(reader),
      ),
    );
  }

  private computeStageMs(index: number): number {
    const capacity = this.input.capacities[index];
    if (!capacity) return 0;
    const pieces = this.input.pieceCounts[index] ?? 0;
    return capacity.callMs + capacity.pieceMs * pieces;
  }

  private countInputBytes(
    index: number,
    inputs: readonly StageResult[],
  ): number {
    const {stages} = this.input.route;
    const largest = Math.max(
      0,
      ...stages[index].after.map(source => stages[source].resultBytes),
    );
    return largest * inputs.length;
  }

  private listReaders(index: number): number[] {
    const {route, pieceCounts} = this.input;
    return route.stages.flatMap((stage, reader) =>
      stage.after.includes(index) && (pieceCounts[reader] ?? 0) > 0
        ? [reader]
        : [],
    );
  }

  private recordRead(source: number, isReleased: boolean): void {
    this.readersLeft[source] -= 1;
    if (this.readersLeft[source] > 0) return;
    const results = this.unreleased.get(source);
    this.unreleased.delete(source);
    if (results && !isReleased) this.dispatcher.releaseResults(results);
  }
}

function chooseFailureDomain(
  inputs: readonly StageResult[],
): string | undefined {
  const counts = new Map<string, number>();
  for (const {failureDomain} of inputs)
    counts.set(failureDomain, (counts.get(failureDomain) ?? 0) + 1);
  let best: string | undefined;
  for (const [failureDomain, count] of counts) {
    if (best === undefined || count > counts.get(best)!) best = failureDomain;
  }
  return best;
}
