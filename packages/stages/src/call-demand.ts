import type {Clock, Timer} from '@hollowstack/clock';
import {listJobStates, type InFlightPiece} from './job-state.ts';

/**
 * Milliseconds from the cancellation of its last job until a call is closed. An upstream that has
 * begun a call finishes it in any case, and its answer names the results to release.
 */
const CLOSE_DELAY_MS = 300;

/** Follows whether any job still needs a call, and closes the call if none does. */
export class CallDemand {
  private readonly clock: Clock;
  private readonly pieces: readonly InFlightPiece[];
  private readonly controller = new AbortController();
  private readonly removeHandlers: ReadonlyArray<() => void>;
  private sent: readonly InFlightPiece[] = [];
  private timer: Timer | undefined;

  constructor(clock: Clock, pieces: readonly InFlightPiece[]) {
    this.clock = clock;
    this.pieces = pieces;
    this.removeHandlers = [...listJobStates(pieces)].map(state =>
      state.addCancelHandler(() => this.handleCancelled()),
    );
  }

  /** Closes the call once it aborts. */
  get signal(): AbortSignal {
    return this.controller.signal;
  }

  /** The pieces that were sent. */
  get sentPieces(): readonly InFlightPiece[] {
    return this.sent;
  }

  /** Lists the pieces that were not sent. */
  listUnsent(): InFlightPiece[] {
    return this.pieces.filter(piece => !this.sent.includes(piece));
  }

  /** Returns whether a job needs one of the pieces. */
  isNeeded(): boolean {
    return this.pieces.some(({state}) => !state.isSettled);
  }

  /** Records that the pieces that are still needed are sent now, and returns them. */
  takePieces(): readonly InFlightPiece[] {
    this.sent = this.pieces.filter(({state}) => !state.isSettled);
    return this.sent;
  }

  /** Ends the watch, since the call has ended. */
  end(): void {
    this.timer?.cancel();
    for (const removeHandler of this.removeHandlers) removeHandler();
  }

  private handleCancelled(): void {
    if (this.isNeeded()) return;
    if (this.sent.length === 0) {
      this.closeCall();
      return;
    }
    this.timer ??= this.clock.schedule(CLOSE_DELAY_MS, () => this.closeCall());
  }

  private closeCall(): void {
    this.controller.abort(new Error('no request needs the call any more'));
  }
}
