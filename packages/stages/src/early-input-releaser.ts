import type {Clock, Timer} from '@hollowstack/clock';
import type {StageResult} from '@hollowstack/types';
import type {JobState, InFlightPiece} from './job-state.ts';
import type {StageFleet} from './stage-fleet.ts';

/** Dependencies of EarlyInputReleaser. */
export interface EarlyInputReleaserParts {
  readonly clock: Clock;
  readonly fleet: Pick<StageFleet, 'findStoredInput' | 'isShortOfMemory'>;
  /** Releases results at the upstreams that store them. */
  readonly releaseResults: (results: readonly StageResult[]) => void;
}

/** Tracks when the upstream of a call has read its inputs. */
export interface CallReadTracker {
  /** Records that the first byte of the call is sent. */
  recordSent(): void;
  /** Stops tracking; called when the call has ended, successfully or not. */
  end(): void;
}

/**
 * Share of the expected duration of a call after which its upstream has read the inputs. The
 * upstream fetches them first, in about 10 ms; the rest allows for connection setup and one
 * retransmitted packet (200 ms).
 */
const READ_SHARE = 0.5;

/**
 * Releases the inputs of jobs while the calls that have read them are still in flight, if the
 * memory that stores them is short.
 */
export class EarlyInputReleaser {
  private readonly parts: EarlyInputReleaserParts;

  constructor(parts: EarlyInputReleaserParts) {
    this.parts = parts;
  }

  /** Starts tracking a call. */
  beginCall(
    pieces: readonly InFlightPiece[],
    expectedMs: number,
  ): CallReadTracker {
    const {clock} = this.parts;
    let timer: Timer | undefined;
    return {
      recordSent: () => {
        timer = clock.schedule(expectedMs * READ_SHARE, () =>
          this.recordRead(pieces),
        );
      },
      end: () => timer?.cancel(),
    };
  }

  private recordRead(pieces: readonly InFlightPiece[]): void {
    for (const {state, piece} of pieces) {
      state.recordRead(piece.piece);
      if (state.mayReleaseInputs()) this.releaseInputs(state);
    }
  }

  // If another coordinator accounts for one of the inputs, all are left for the submitter of
  // the job to release.
  private releaseInputs(state: JobState): void {
    const {fleet, releaseResults} = this.parts;
    const inputs = state.job.inputs.map(handle =>
      fleet.findStoredInput(handle),
    );
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
