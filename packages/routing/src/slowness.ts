/** Half-life of the recorded slowness while no new samples arrive. */
const HALF_LIFE_MS = 4000;

/**
 * Duration of work at an upstream relative to the same work elsewhere; 1 is
 * equal. It decays towards 1: an upstream avoided as slow gets no work that could
 * show its recovery.
 */
export class Slowness {
  /** Weight of a new sample, from 0 to 1. */
  private readonly weight: number;
  private value = 1;
  private recordedAtMs = 0;

  constructor(weight: number) {
    this.weight = weight;
  }

  getValue(nowMs: number): number {
    const ageMs = Math.max(0, nowMs - this.recordedAtMs);
    return 1 + (this.value - 1) * 0.5 ** (ageMs / HALF_LIFE_MS);
  }

  /** Records the actual duration of work divided by the expected one. */
  recordSample(sample: number, nowMs: number): void {
    const previous = this.getValue(nowMs);
    this.value = previous + (sample - previous) * this.weight;
    this.recordedAtMs = nowMs;
  }
}
