import type {HealthPolicy, HealthState} from '@hollowstack/routing';
import type {Upstream} from '@hollowstack/types';

/** Configuration of a pool or service. */
export interface GroupSettings {
  readonly name: string;
  readonly upstreams: readonly Upstream[];
  /** Requests that one upstream processes concurrently. */
  readonly slots: number;
  /** Milliseconds one unit of work is expected to take. */
  readonly expectedMs: number;
  /** Upper bound in milliseconds of an attempt's inactivity timeout. */
  readonly silenceMs: number;
}

/** State of one upstream as the status command shows it. */
export interface UpstreamStatus {
  readonly id: string;
  readonly address: string;
  readonly failureDomain: string;
  readonly state: HealthState['state'];
  readonly ownInFlight: number;
  /** Models that the upstream reports as loaded; undefined before its first report. */
  readonly models: readonly string[] | undefined;
  /** Ratio of its durations, without the effect of load, to the mean of the group. */
  readonly slowness: number;
}

/** Properties of a stage's work that matter for the choice of an upstream. */
export interface RoutableWork {
  /** Key of the duration estimates; work with the same key takes about the same time. */
  readonly classKey: string;
  /** Size in units of one expected request; used until durations have been measured. */
  readonly units: number;
  /** Model that the upstream must have loaded; undefined if none is required. */
  readonly model: string | undefined;
  /** Text whose prefix the upstream may have cached. */
  readonly prompt: string | undefined;
}

/** Policies of a group for health and concurrency limits. */
export interface GroupPolicy {
  readonly healthPolicy: HealthPolicy;
  readonly adaptLimits: boolean;
}
