/** Milliseconds in which what was learnt of a slow upstream loses half its weight. */
const HALF_LIFE_MS = 4000;

/**
 * How long work takes at an upstream over what the same work takes elsewhere; 1
 * for alike. It fades with time: one that is left alone for its slowness gets
 * no work by which it could show that it is well again.
 */
export class Slowness {
  /** Weight of the newest piece of work. */
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

  /** Notes what a piece of work took over what was expected of it. */
  recordSample(sample: number, nowMs: number): void {
    const previous = this.getValue(nowMs);
    this.value = previous + (sample - previous) * this.weight;
    this.recordedAtMs = nowMs;
  }
}
