/**
 * Maximum back-off that an upstream can request. Without it, an upstream that sends
 * milliseconds instead of seconds by mistake would receive no work for an hour.
 */
export const MAX_BACK_OFF_MS = 60_000;
/** Unsigned decimal seconds with an optional fraction; no exponent or unit. */
const SECONDS = /^\d+(\.\d+)?$/;

/**
 * Parses the value of an HTTP `Retry-After` header.
 *
 * @returns Milliseconds; undefined if the value is not a single number of seconds. Dates
 *     are not supported, because the local wall clock may be wrong by seconds.
 */
export function parseRetryAfterMs(value: string): number | undefined {
  const text = value.trim();
  return SECONDS.test(text) ? Number(text) * 1000 : undefined;
}
