import type {Clock, Timer} from '@hollowstack/clock';
import type {StageResult} from '@hollowstack/types';
import type {JobState, InFlightPiece} from './job-state.ts';
import type {StageFleet} from './stage-fleet.ts';

/** Dependencies of InputReads. */
export interface EarlyInputReleaserParts {
  readonly clock: Clock;
  readonly fleet: Pick<StageFleet, 'findHeldInput' | 'isShortOfMemory'>;
  /** Gives results back to the upstreams that keep them. */
  readonly releaseResults: (results: readonly StageResult[]) => void;
}

/** A call whose reading of inputs is followed. */
export interface CallReadTracker {
  /** Notes that the first byte of the call leaves. */
  recordSent(): void;
  /** Notes that the call is over, whatever became of it. */
  end(): void;
}

/**
 * Share of the time that a call is expected to take after which its upstream has read
 * the inputs. It fetches them first, in some 10 ms; the rest is for connections and one
 * packet that has to be sent again (200 ms).
 */
const READ_SHARE = 0.5;

/**
 * Gives the inputs of jobs back while the calls that have read them still work, where
 * the memory that they take is short.
 */
export class EarlyInputReleaser {
  private readonly parts: EarlyInputReleaserParts;

  constructor(parts: EarlyInputReleaserParts) {
    this.parts = parts;
  }

  /** Begins to follow a call. */
  beginCall(
    taken: readonly InFlightPiece[],
    expectedMs: number,
  ): CallReadTracker {
    const {clock} = this.parts;
    let timer: Timer | undefined;
    return {
      recordSent: () => {
        timer = clock.schedule(expectedMs * READ_SHARE, () =>
          this.recordRead(taken),
        );
      },
      end: () => timer?.cancel(),
    };
  }

  private recordRead(taken: readonly InFlightPiece[]): void {
    for (const {state, piece} of taken) {
      state.recordRead(piece.piece);
      if (state.mayReleaseInputs()) this.releaseInputs(state);
    }
  }

  // Inputs that another coordinator knows of are left to whoever asked for the job.
  private releaseInputs(state: JobState): void {
    const {fleet, releaseResults} = this.parts;
    const inputs = state.job.inputs.map(handle => fleet.findHeldInput(handle));
    const known = inputs.filter(input => input !== undefined);
    if (known.length < inputs.length) return;
    const isShort = known.some(({upstreamId}) =>
      fleet.isShortOfMemory(upstreamId),
    );
    if (!isShort) return;
    state.recordInputsReleased();
    releaseResults(known.map(({result}) => result));
  }
}
