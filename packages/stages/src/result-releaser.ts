import type {Clock} from '@hollowstack/clock';
import type {StageResult} from '@hollowstack/types';
import type {StageCaller} from './stage-caller.ts';

/** Milliseconds over which results are gathered before they are given back. */
const GATHER_MS = 40;

/** Gives results back, those of one upstream together. */
export class ResultReleaser {
  private readonly clock: Clock;
  private readonly caller: StageCaller;
  private readonly handleReleased: (handles: readonly string[]) => void;
  private readonly pending = new Map<string, string[]>();

  /** @param handleReleased Called once an upstream has given the room up. */
  constructor(
    clock: Clock,
    caller: StageCaller,
    handleReleased: (handles: readonly string[]) => void,
  ) {
    this.clock = clock;
    this.caller = caller;
    this.handleReleased = handleReleased;
  }

  addResults(results: readonly StageResult[]): void {
    for (const {address, handle} of results) {
      const handles = this.pending.get(address);
      if (handles) handles.push(handle);
      else this.beginGathering(address, handle);
    }
  }

  private beginGathering(address: string, handle: string): void {
    this.pending.set(address, [handle]);
    this.clock.schedule(GATHER_MS, () => {
      const handles = this.pending.get(address) ?? [];
      this.pending.delete(address);
      void this.caller
        .releaseResults(address, handles)
        .then(() => this.handleReleased(handles));
    });
  }
}
