import {AnswerLimitError} from './answer-limit-error.ts';

/** Number of bytes that each message may hold even if the budget is used up. */
const GUARANTEED_BYTES = 64 * 1024;

/** Memory that one message holds; counts towards its budget until it is released. */
export interface MemoryReservation {
  /** Replaces the number of bytes held. */
  setBytes(byteCount: number): void;
  /** Keeps the reservation from being cancelled, since its message is complete. */
  finishReading(): void;
  /** Releases the memory; later calls have no effect. */
  release(): void;
}

/**
 * Limits the memory that all messages together hold. If it is used up, the message that holds
 * most of those still being read is cancelled.
 */
export class MemoryBudget {
  private readonly maxBytes: number;
  private readonly reservations = new Set<Reservation>();
  private heldBytes = 0;

  constructor(maxBytes: number) {
    this.maxBytes = maxBytes;
  }

  /** Returns the number of bytes that all messages hold. */
  getHeldBytes(): number {
    return this.heldBytes;
  }

  /**
   * Creates a reservation without bytes.
   *
   * @param cancel Called at most once, if the message has to be given up for want of memory.
   */
  createReservation(
    cancel: (error: AnswerLimitError) => void,
  ): MemoryReservation {
    const reservation: Reservation = new Reservation(cancel, change => {
      this.heldBytes += change;
      if (reservation.byteCount === 0) this.reservations.delete(reservation);
      else this.reservations.add(reservation);
      if (change > 0) this.cancelLargest();
    });
    return reservation;
  }

  private cancelLargest(): void {
    while (this.heldBytes > this.maxBytes) {
      const largest = this.findLargest();
      if (!largest) return;
      const message = `all messages together hold over ${this.maxBytes} bytes, this one ${largest.byteCount}`;
      largest.cancel(new AnswerLimitError('instance', message));
    }
  }

  private findLargest(): Reservation | undefined {
    let largest: Reservation | undefined;
    for (const each of this.reservations) {
      const isLarge = each.byteCount > GUARANTEED_BYTES && each.isReading;
      if (!isLarge) continue;
      if (!largest || each.byteCount > largest.byteCount) largest = each;
    }
    return largest;
  }
}

class Reservation implements MemoryReservation {
  byteCount = 0;
  isReading = true;
  private isReleased = false;
  private readonly handleCancel: (error: AnswerLimitError) => void;
  private readonly handleChange: (change: number) => void;

  constructor(
    handleCancel: (error: AnswerLimitError) => void,
    handleChange: (change: number) => void,
  ) {
    this.handleCancel = handleCancel;
    this.handleChange = handleChange;
  }

  setBytes(byteCount: number): void {
    if (this.isReleased || byteCount === this.byteCount) return;
    const change = byteCount - this.byteCount;
    this.byteCount = byteCount;
    this.handleChange(change);
  }

  finishReading(): void {
    this.isReading = false;
  }

  release(): void {
    this.setBytes(0);
    this.isReleased = true;
  }

  cancel(error: AnswerLimitError): void {
    this.release();
    this.handleCancel(error);
  }
}
