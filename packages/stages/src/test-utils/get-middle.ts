/** A source of random numbers that always returns 0.5, so that jitter is at its mean. */
export function getMiddle(): number {
  return 0.5;
}
