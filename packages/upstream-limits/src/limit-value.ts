/** Unsigned decimal with an optional fraction; no exponent or unit. */
const DECIMAL = /^\d+(\.\d+)?$/;
/** Cap on parsed limits; it also keeps very long digit strings finite. */
const MAX_PER_SECOND = 1_000_000;

/**
 * Parses an advertised rate limit.
 *
 * @returns Requests per second, possibly 0; undefined if the value is not a single
 *     decimal number.
 */
export function parseLimit(value: string): number | undefined {
  const text = value.trim();
  if (!DECIMAL.test(text)) return undefined;
  return Math.min(Number(text), MAX_PER_SECOND);
}
