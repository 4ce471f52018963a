import type {Clock} from '@hollowstack/clock';
import type {EventLogger} from '@hollowstack/logger';
import type {MetricsRegistry} from '@hollowstack/metrics';
import type {UpstreamSelector} from '@hollowstack/routing';
import type {HttpClient} from '@hollowstack/transport';
import type {RoutableWork} from './group-settings.ts';
import type {RequestContext} from './request-context.ts';
import type {StageCall} from './stage-call.ts';

/** Optional rules of a runner; benchmarks switch them off to compare results without them. */
export interface RunnerPolicy {
  /** Refuses work whose predicted finish is after its deadline. */
  readonly refuseDoomed: boolean;
  /** Cancels an attempt early if its upstream is inactive for longer than usual. */
  readonly adaptSilence: boolean;
}

/** Dependencies of a runner. */
export interface GroupRunnerParts {
  readonly client: HttpClient;
  readonly clock: Clock;
  readonly selector: UpstreamSelector;
  readonly metrics: MetricsRegistry;
  readonly logger: EventLogger;
  readonly policy: RunnerPolicy;
  /**
   * Resolves at once, except after a pause of the process: then once the list of
   * leaving upstreams was refreshed or the refresh timed out.
   */
  readonly waitUntilFresh: () => Promise<void>;
}

/** Work of one stage for the upstreams of a group. */
export interface GroupWork {
  readonly stage: string;
  readonly call: StageCall;
  readonly isRepeatable: boolean;
  /** Predicted milliseconds of the stages after this one. */
  readonly laterStagesMs: number;
}

/** Result of completed work. */
export interface GroupOutcome {
  readonly upstream: string;
  readonly attempts: number;
  readonly waitedMs: number;
}

/** Limits of a request's attempts under the objective of its workspace. */
export interface ObjectivePolicy {
  readonly maxAttempts: number;
  /** Share of the predicted duration that must fit into the time left. */
  readonly requiredShare: number;
}

/**
 * Policy of each objective. `attainment` runs a request that will probably be
 * late; `cost` refuses one that is unlikely to meet its deadline.
 */
export const OBJECTIVE_POLICIES: Readonly<
  Record<'attainment' | 'cost', ObjectivePolicy>
> = {
  attainment: {maxAttempts: 3, requiredShare: 0.7},
  cost: {maxAttempts: 2, requiredShare: 0.95},
};

/** Characters at the start of a prompt that form its affinity key; enough to distinguish templates. */
const AFFINITY_PREFIX_CHARACTERS = 128;

/** Returns a key that prompts with the same prefix share, since they share cache blocks. */
export function getAffinityKey(prompt: string): string {
  return prompt.slice(0, AFFINITY_PREFIX_CHARACTERS);
}

/** Returns the properties of the work that matter for the choice of an upstream. */
export function toRoutableWork(
  {stage, call}: GroupWork,
  {identity}: RequestContext,
): RoutableWork {
  return {
    classKey: `${identity.workspace}/${identity.target}/${stage}`,
    units: call.getRemainingUnits(),
    model: call.getModel(),
    prompt: call.getPrompt(),
  };
}

/** Returns the key of the estimates of the time to the first byte. */
export function getFirstByteKey(
  work: GroupWork,
  context: RequestContext,
): string {
  return `${toRoutableWork(work, context).classKey}/first-byte`;
}
