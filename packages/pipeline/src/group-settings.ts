import type {HealthPolicy, HealthState} from '@hollowstack/routing';
import type {Upstream} from '@hollowstack/types';

/** What the configuration says of a pool or service. */
export interface GroupSettings {
  readonly name: string;
  readonly upstreams: readonly Upstream[];
  /** Requests that one upstream works on at the same time. */
  readonly slots: number;
  /** Milliseconds one unit of work is expected to take. */
  readonly expectedMs: number;
  /** Milliseconds without a byte after which an attempt is given up at the latest. */
  readonly silenceMs: number;
}

/** One upstream as operators are shown it. */
export interface UpstreamStatus {
  readonly id: string;
  readonly address: string;
  readonly failureDomain: string;
  readonly state: HealthState['state'];
  readonly ownInFlight: number;
  /** Models it reports to hold; undefined before its first report. */
  readonly models: readonly string[] | undefined;
  /** How much slower it is than others; 1 for alike. */
  readonly slowness: number;
}

/** A piece of work as far as its placing goes. */
export interface RoutableWork {
  /** Work of one class takes about as long each time. */
  readonly classKey: string;
  /** Size where nothing was measured yet, in units of one expected request. */
  readonly units: number;
  /** Model that the upstream must hold; undefined for any. */
  readonly model: string | undefined;
  /** Text whose prefix the upstream may have cached. */
  readonly prompt: string | undefined;
}

/** How a group decides. */
export interface GroupPolicy {
  readonly healthPolicy: HealthPolicy;
  readonly adaptLimits: boolean;
}
