import type {Clock} from '@hollowstack/clock';
import type {StageResult} from '@hollowstack/types';
import type {StageCaller} from './stage-caller.ts';

/** Dependencies of ResultReleaser. */
export interface ResultReleaserParts {
  readonly clock: Clock;
  readonly caller: Pick<StageCaller, 'releaseResults'>;
  /**
   * Returns the remaining back-off in milliseconds of the upstream at an address, 0 if it may
   * be called; undefined if it is leaving, which discards its results.
   */
  readonly getWaitMs: (address: string) => number | undefined;
  /**
   * Returns the milliseconds over which releases at an address are collected; undefined if its
   * upstream advertises no limit.
   */
  readonly getBatchDelayMs?: (address: string) => number | undefined;
  /** Called once an upstream has been asked to release results, or if it is leaving. */
  readonly handleReleased: (handles: readonly string[]) => void;
}

/** Default time over which releases are collected before they are sent. */
const BATCH_DELAY_MS = 40;

/** Releases results in batches, one per upstream address. */
export class ResultReleaser {
  private readonly parts: ResultReleaserParts;
  private readonly pending = new Map<string, string[]>();

  constructor(parts: ResultReleaserParts) {
    this.parts = parts;
  }

  /** Schedules the release of results. */
  addResults(results: readonly StageResult[]): void {
    for (const {address, handle} of results) {
      const handles = this.pending.get(address);
      if (handles) {
        handles.push(handle);
        continue;
      }
      this.pending.set(address, [handle]);
      const batchDelayMs =
        this.parts.getBatchDelayMs?.(address) ?? BATCH_DELAY_MS;
      this.scheduleRelease(address, batchDelayMs);
    }
  }

  private scheduleRelease(address: string, delayMs: number): void {
    this.parts.clock.schedule(delayMs, () => this.releaseDue(address));
  }

  // The release waits for the end of a back-off: the upstream takes no work until then, so it
  // does not need the memory.
  private releaseDue(address: string): void {
    const {caller, getWaitMs, handleReleased} = this.parts;
    const waitMs = getWaitMs(address);
    if (waitMs !== undefined && waitMs > 0) {
      this.scheduleRelease(address, waitMs);
      return;
    }
    const handles = this.pending.get(address) ?? [];
    this.pending.delete(address);
    if (waitMs === undefined) {
      handleReleased(handles);
      return;
    }
    void caller
      .releaseResults(address, handles)
      .then(() => handleReleased(handles));
  }
}
