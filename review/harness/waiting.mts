/** Resolves after a time of the real clock. */
export function waitMs(durationMs: number): Promise<void> {
  return new Promise(resolve => setTimeout(resolve, durationMs));
}

/** Waits until a condition holds. @throws Error after the limit. */
export async function waitUntil(
  what: string,
  isMet: () => boolean,
  limitMs: number,
): Promise<void> {
  const endMs = performance.now() + limitMs;
  while (!isMet()) {
    if (performance.now() > endMs) throw new Error(`not in time: ${what}`);
    await waitMs(5);
  }
}
