/**
 * A source of random numbers that always returns 0.5, so that jitter has its mean value.
 */
export function getMiddle(): number {
  return 0.5;
}
