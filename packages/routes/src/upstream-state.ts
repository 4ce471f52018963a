import type {RegisteredUpstream, WarmUp} from './routed-configuration.ts';

/** Returns whether an upstream accepts new work, according to its registration and evacuations. */
export function isAcceptingWork({
  isLeaving,
  isEvacuated = false,
}: RegisteredUpstream): boolean {
  return !isLeaving && !isEvacuated;
}

/** Returns the software version of an upstream; empty if it reports none. */
export function getSoftwareVersion({
  softwareVersion = '',
}: RegisteredUpstream): string {
  return softwareVersion;
}

/** Returns whether an upstream has a software version; undefined stands for any version. */
export function hasSoftwareVersion(
  upstream: RegisteredUpstream,
  version: string | undefined,
): boolean {
  return version === undefined || getSoftwareVersion(upstream) === version;
}

/**
 * Returns the time until which an upstream is cold, by the clock of this instance;
 * 0 if it did not register as cold or its service has no warm-up. After an
 * evacuation, an upstream counts as cold for a full warm-up, because the end of
 * the evacuation may become known before the registration that reports it cold.
 */
export function getColdUntilMs(
  {coldUntilMs = 0, returnedAtMs}: RegisteredUpstream,
  warmUp: WarmUp | undefined,
): number {
  if (!warmUp) return 0;
  if (returnedAtMs === undefined) return coldUntilMs;
  return Math.max(coldUntilMs, returnedAtMs + warmUp.durationMs);
}

/** Retry delay if no upstream of a service accepts work; about the duration of a restart. */
const NO_UPSTREAM_RETRY_AFTER_MS = 1000;

/** Why no upstream of a service accepts work now. */
export interface Unavailability {
  readonly reason: string;
  /**
   * Milliseconds until the first back-off ends, if all upstreams that accept work
   * asked for one; undefined if no end is known.
   */
  readonly waitMs: number | undefined;
  /** Milliseconds after which a caller may retry. */
  readonly retryAfterMs: number;
}

/**
 * Returns why no upstream of a service accepts work; undefined if one does.
 *
 * @param upstreams All registered upstreams of the service.
 * @param getWaitMs Returns the remaining back-off of an upstream in milliseconds; 0
 * if it asked for none.
 */
export function findUnavailability(
  service: string,
  upstreams: readonly RegisteredUpstream[],
  getWaitMs: (id: string) => number,
): Unavailability | undefined {
  const waits = upstreams.filter(isAcceptingWork).map(({id}) => getWaitMs(id));
  if (waits.length === 0) {
    return {
      reason: formatNoUpstreamReason(service, upstreams),
      waitMs: undefined,
      retryAfterMs: NO_UPSTREAM_RETRY_AFTER_MS,
    };
  }
  const waitMs = Math.min(...waits);
  if (waitMs <= 0) return undefined;
  const seconds = (waitMs / 1000).toFixed(1);
  return {
    reason: `all ${waits.length} upstreams of ${service} that take work have asked for none, the first for another ${seconds} s`,
    waitMs,
    retryAfterMs: waitMs,
  };
}

function formatNoUpstreamReason(
  service: string,
  upstreams: readonly RegisteredUpstream[],
): string {
  if (upstreams.length === 0) return `no upstream of ${service} is registered`;
  const evacuated = upstreams.filter(({isEvacuated}) => isEvacuated).length;
  if (evacuated === 0) return `all upstreams of ${service} are leaving`;
  return `${evacuated} of ${upstreams.length} upstreams of ${service} are evacuated, the others are leaving`;
}
