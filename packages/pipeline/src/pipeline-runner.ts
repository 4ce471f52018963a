import {HollowstackError} from '@hollowstack/errors';
import type {Stage, Template, WorkspacePipeline} from '@hollowstack/types';
import type {GroupDirectory} from './group-directory.ts';
import {GroupRunner} from './group-runner.ts';
import type {GroupRunnerParts} from './group-work.ts';
import type {RequestContext} from './request-context.ts';
import type {PipelineResult, ResultSink, StageTiming} from './result.ts';
import {
  TOKENS_PER_WORK_UNIT,
  createStageCall,
  type StageState,
} from './stage-calls.ts';
import type {UpstreamGroup} from './upstream-group.ts';

/** Input of a pipeline run. */
export interface PipelineRequest {
  readonly template: Template;
  readonly pipeline: WorkspacePipeline;
  readonly input: string;
}

/** Runs a request through the stages of its template. */
export class PipelineRunner {
  private readonly groups: GroupDirectory;
  private readonly runner: GroupRunner;
  private readonly parts: GroupRunnerParts;

  constructor(groups: GroupDirectory, parts: GroupRunnerParts) {
    this.groups = groups;
    this.parts = parts;
    this.runner = new GroupRunner(parts);
  }

  /**
   * Runs all stages; generated text is pushed to the sink as it arrives.
   *
   * @throws HollowstackError if a stage fails or is refused.
   */
  async runPipeline(
    request: PipelineRequest,
    context: RequestContext,
    sink: ResultSink,
  ): Promise<PipelineResult> {
    const state: StageState = {input: request.input};
    const timings: StageTiming[] = [];
    for (const [index, stage] of request.template.stages.entries()) {
      const laterStages = request.template.stages.slice(index + 1);
      const laterMs = this.predictStagesMs(laterStages, request, context);
      timings.push(
        await this.runStage(stage, laterMs, request, context, state, sink),
      );
    }
    const lastKind = request.template.stages.at(-1)!.kind;
    return {
      ...(lastKind === 'encode' ? {embedding: state.embedding} : {}),
      ...(lastKind === 'retrieve' || lastKind === 'rerank'
        ? {documents: state.documents}
        : {}),
      stages: timings,
    };
  }

  private async runStage(
    stage: Stage,
    laterMs: number,
    request: PipelineRequest,
    context: RequestContext,
    state: StageState,
    sink: ResultSink,
  ): Promise<StageTiming> {
    const {clock, metrics} = this.parts;
    const group = this.getGroup(stage);
    const startedAtMs = clock.getNow();
    const {priority} = context.identity;
    const call = createStageCall(
      stage,
      request.pipeline,
      state,
      priority,
      sink,
    );
    const work = {
      stage: stage.name,
      call,
      isRepeatable: true,
      laterStagesMs: laterMs,
    };
    const outcome = await this.runner
      .runWork(group, work, context)
      .catch((error: unknown) => {
        const elapsedMs = clock.getNow() - startedAtMs;
        recordUnfinished(group, stage, context, error, elapsedMs);
        throw error;
      });
    const durationMs = clock.getNow() - startedAtMs;
    const {workspace, target} = context.identity;
    group.durations.recordMs(getStageKey(stage, context), durationMs);
    metrics.recordLatency(
      'hollowstack_stage_seconds',
      {workspace, pipeline: target, stage: stage.name},
      durationMs,
    );
    return {stage: stage.name, pool: stage.pool, durationMs, ...outcome};
  }

  private predictStagesMs(
    stages: readonly Stage[],
    request: PipelineRequest,
    context: RequestContext,
  ): number {
    let totalMs = 0;
    for (const stage of stages) {
      const group = this.getGroup(stage);
      const {expectedMs} = group.getSettings();
      const units =
        stage.kind === 'generate'
          ? request.pipeline.maxTokens / TOKENS_PER_WORK_UNIT
          : 1;
      totalMs += group.durations.getMeanMs(
        getStageKey(stage, context),
        expectedMs * units,
      );
    }
    return totalMs;
  }

  private getGroup(stage: Stage): UpstreamGroup {
    const group = this.groups.getPool(stage.pool);
    if (group) return group;
    throw new HollowstackError(
      'upstream-unavailable',
      `pool ${stage.pool} is no longer in the configuration`,
    );
  }
}

/** Assumed ratio of the full duration of unfinished work to the time it ran. */
const UNFINISHED_DURATION_FACTOR = 1.3;

// Records the duration of work that exceeded its deadline as well. If only
// completed work counted, a stage that often exceeds the deadline would look as
// if it always met it.
function recordUnfinished(
  group: UpstreamGroup,
  stage: Stage,
  context: RequestContext,
  error: unknown,
  elapsedMs: number,
): void {
  const isDeadlineExceeded =
    error instanceof HollowstackError && error.kind === 'deadline-exceeded';
  if (!isDeadlineExceeded) return;
  group.durations.recordMs(
    getStageKey(stage, context),
    elapsedMs * UNFINISHED_DURATION_FACTOR,
  );
}

function getStageKey(stage: Stage, context: RequestContext): string {
  const {workspace, target} = context.identity;
  return `${workspace}/${target}/${stage.name}`;
}
