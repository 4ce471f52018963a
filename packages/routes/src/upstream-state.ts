import type {RegisteredUpstream, WarmUp} from './routed-configuration.ts';

/** Returns whether new work may go to an upstream, as far as registrations say. */
export function isTakingWork({
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
 * about the time of a restart. A guess.
 */
export const SHORTAGE_RETRY_MS = 1000;

/**
 * Returns why none of the upstreams of a service takes work, as registrations say;
 * undefined where one does.
 */
export function findShortage(
  service: string,
  upstreams: readonly RegisteredUpstream[],
): string | undefined {
  if (upstreams.some(isTakingWork)) return undefined;
  if (upstreams.length === 0) return `no upstream of ${service} is registered`;
  const evacuated = upstreams.filter(({isEvacuated}) => isEvacuated).length;
  if (evacuated === 0) return `all upstreams of ${service} are leaving`;
  return `${evacuated} of ${upstreams.length} upstreams of ${service} are evacuated, the others are leaving`;
}
