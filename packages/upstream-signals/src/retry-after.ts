/**
 * Longest milliseconds for which an upstream is left alone at its word. Upstreams ask
 * for seconds; one that writes milliseconds by mistake would else be lost for an hour.
 */
export const MAX_BACK_OFF_MS = 60_000;
/** Seconds in decimal digits, a fraction allowed; no sign, exponent or unit. */
const SECONDS = /^\d+(\.\d+)?$/;

/**
 * Parses the value of an HTTP `Retry-After` header.
 *
 * @returns Milliseconds; undefined for anything but one number of seconds. A date
 * is not read: it would be held against a time of day that may be wrong by seconds.
 */
export function parseRetryAfterMs(value: string): number | undefined {
  const text = value.trim();
  return SECONDS.test(text) ? Number(text) * 1000 : undefined;
}
