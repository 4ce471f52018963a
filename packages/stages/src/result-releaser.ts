import type {Clock} from '@hollowstack/clock';
import type {StageResult} from '@hollowstack/types';
import type {StageCaller} from './stage-caller.ts';

/** Dependencies of ResultReleaser. */
export interface ResultReleaserParts {
  readonly clock: Clock;
  readonly caller: Pick<StageCaller, 'releaseResults'>;
  /**
   * Returns milliseconds for which the upstream at an address wants nothing, 0 where
   * it may be called; undefined where it leaves with all that it keeps.
   */
  readonly getWaitMs: (address: string) => number | undefined;
  /**
   * Returns the milliseconds over which releases at an address are gathered; undefined
   * if its upstream advertises no limit.
   */
  readonly getGatherMs?: (address: string) => number | undefined;
  /** Called once an upstream has given the room up, or takes its results along. */
  readonly handleReleased: (handles: readonly string[]) => void;
}

/** Milliseconds over which results are gathered before they are given back. */
const GATHER_MS = 40;

/** Gives results back, those of one upstream together. */
export class ResultReleaser {
  private readonly parts: ResultReleaserParts;
  private readonly pending = new Map<string, string[]>();

  constructor(parts: ResultReleaserParts) {
    this.parts = parts;
  }

  addResults(results: readonly StageResult[]): void {
    for (const {address, handle} of results) {
      const handles = this.pending.get(address);
      if (handles) {
        handles.push(handle);
        continue;
      }
      this.pending.set(address, [handle]);
      const gatherMs = this.parts.getGatherMs?.(address) ?? GATHER_MS;
      this.scheduleRelease(address, gatherMs);
    }
  }

  private scheduleRelease(address: string, delayMs: number): void {
    this.parts.clock.schedule(delayMs, () => this.releaseDue(address));
  }

  // An upstream that wants no work has no use for the room meanwhile.
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
