import type {Clock} from '@hollowstack/clock';
import type {EventLogger} from '@hollowstack/logger';
import type {MetricsRegistry} from '@hollowstack/metrics';
import type {UpstreamSelector} from '@hollowstack/routing';
import type {HttpClient} from '@hollowstack/transport';
import type {RoutableWork} from './group-settings.ts';
import type {RequestContext} from './request-context.ts';
import type {StageCall} from './stage-call.ts';

/** Which decisions a runner takes; without one it is a baseline. */
export interface RunnerPolicy {
  /** Refuses work whose predicted finish lies behind its deadline. */
  readonly refuseDoomed: boolean;
  /** Gives an attempt up when it is silent for longer than usual. */
  readonly adaptSilence: boolean;
}

/** What a runner works with. */
export interface GroupRunnerParts {
  readonly client: HttpClient;
  readonly clock: Clock;
  readonly selector: UpstreamSelector;
  readonly metrics: MetricsRegistry;
  readonly logger: EventLogger;
  readonly policy: RunnerPolicy;
  /** Resolves once what is known of upstreams may be trusted. */
  readonly waitUntilFresh: () => Promise<void>;
}

/** One piece of work for a group. */
export interface GroupWork {
  readonly stage: string;
  readonly call: StageCall;
  readonly isRepeatable: boolean;
  /** Predicted milliseconds of the stages behind this one. */
  readonly laterStagesMs: number;
}

/** How a piece of work was done. */
export interface GroupOutcome {
  readonly upstream: string;
  readonly attempts: number;
  readonly waitedMs: number;
}

/** How far a request's attempts go, by what its workspace weighs more. */
export interface ObjectivePolicy {
  readonly maxAttempts: number;
  /** Share of a predicted duration that must fit into the time left. */
  readonly requiredShare: number;
}

/**
 * Attainment tries a request that will probably be late; cost spends nothing
 * on one that is not likely to make it.
 */
export const OBJECTIVE_POLICIES: Readonly<
  Record<'attainment' | 'cost', ObjectivePolicy>
> = {
  attainment: {maxAttempts: 3, requiredShare: 0.7},
  cost: {maxAttempts: 2, requiredShare: 0.95},
};

/**
 * Characters at the beginning of a prompt that name its home; enough to tell
 * templates apart.
 */
const AFFINITY_PREFIX_CHARACTERS = 128;

/** Returns the key of prompts that begin alike: they share cache blocks. */
export function getAffinityKey(prompt: string): string {
  return prompt.slice(0, AFFINITY_PREFIX_CHARACTERS);
}

/** Returns what matters of a piece of work for its placing. */
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

/** Returns the key under which times to the first byte are kept. */
export function getFirstByteKey(
  work: GroupWork,
  context: RequestContext,
): string {
  return `${toRoutableWork(work, context).classKey}/first-byte`;
}
