import type {RegisteredUpstream, WarmUp} from './routed-configuration.ts';

/** Returns whether new work may go to an upstream, as far as registrations say. */
export function isAcceptingWork({
  isLeaving,
  isEvacuated = false,
}: RegisteredUpstream): boolean {
  return !isLeaving && !isEvacuated;
}

/**
 * Returns until when an upstream is cold, in milliseconds of the steady clock; 0
 * for one that is warm or whose service needs no warm-up. After an evacuation it
 * counts as cold for a whole warm-up: the end of the evacuation may be known
 * before the registration which says that the upstream went cold.
 */
export function getColdUntilMs(
  {coldUntilMs = 0, returnedAtMs}: RegisteredUpstream,
  warmUp: WarmUp | undefined,
): number {
  if (!warmUp) return 0;
  if (returnedAtMs === undefined) return coldUntilMs;
  return Math.max(coldUntilMs, returnedAtMs + warmUp.durationMs);
}

/**
 * Milliseconds after which to come back where no upstream of a service takes work:
 * about the time of a restart.
 */
const NO_UPSTREAM_RETRY_AFTER_MS = 1000;

/** Why no upstream of a service takes work now. */
export interface Unavailability {
  readonly reason: string;
  /**
   * Milliseconds until the first of them takes work again, where all asked for a time
   * without; undefined where no end is known.
   */
  readonly waitMs: number | undefined;
  /** Milliseconds after which a caller may come back. */
  readonly retryAfterMs: number;
}

/**
 * Returns why none of the upstreams of a service takes work; undefined where one does.
 *
 * @param getWaitMs Returns milliseconds for which an upstream still wants no work, 0
 * where it asked for none.
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
