import type {Clock, Timer} from '@hollowstack/clock';
import {HollowstackError} from '@hollowstack/errors';
import type {PeerNotification} from './messages.ts';
import type {PeerLink} from './peer-link.ts';

/** Dependencies of NotificationQueue. */
export interface NotificationQueueParts {
  readonly clock: Clock;
  readonly link: Pick<PeerLink, 'sendRequest'>;
}

interface PendingNotification {
  readonly notification: PeerNotification;
  readonly resolve: () => void;
  readonly reject: (error: unknown) => void;
}

interface PendingBatch {
  readonly notifications: PendingNotification[];
  readonly timer: Timer;
}

/**
 * Milliseconds for which notifications to a peer are collected into a batch. Those of a
 * request's first event then share one message, and those of its end another. No caller
 * waits for these messages; results only occupy memory that much longer.
 */
const BATCH_DELAY_MS = 20;
/** Milliseconds for the peer to acknowledge a batch. */
const TIMEOUT_MS = 1000;
/** Maximum notifications in a batch, so that a message stays small. */
const MAX_BATCH = 64;

/**
 * Sends notifications to peers in batches: each message costs both sides a frame, its
 * authentication tag and a reply.
 */
export class NotificationQueue {
  private readonly parts: NotificationQueueParts;
  private readonly pendingBatches = new Map<string, PendingBatch>();

  constructor(parts: NotificationQueueParts) {
    this.parts = parts;
  }

  /**
   * Queues a notification; resolves once the peer has acknowledged it.
   *
   * @throws HollowstackError `peer-refused` if the peer cannot be reached, does not reply
   *   or refuses the batch.
   */
  sendNotification(
    address: string,
    notification: PeerNotification,
  ): Promise<void> {
    return new Promise((resolve, reject) => {
      const batch = this.pendingBatches.get(address) ?? this.addBatch(address);
      batch.notifications.push({notification, resolve, reject});
      if (batch.notifications.length >= MAX_BATCH) void this.sendBatch(address);
    });
  }

  private addBatch(address: string): PendingBatch {
    const timer = this.parts.clock.schedule(
      BATCH_DELAY_MS,
      () => void this.sendBatch(address),
    );
    const batch = {notifications: [], timer};
    this.pendingBatches.set(address, batch);
    return batch;
  }

  private async sendBatch(address: string): Promise<void> {
    const batch = this.pendingBatches.get(address);
    if (!batch) return;
    this.pendingBatches.delete(address);
    batch.timer.cancel();
    const notes = batch.notifications.map(({notification}) => notification);
    try {
      const request = {type: 'notes', notes} as const;
      const reply = await this.parts.link.sendRequest(
        address,
        request,
        TIMEOUT_MS,
      );
      if (reply.type === 'failed') throw createRefusedError(reply.message);
      for (const {resolve} of batch.notifications) resolve();
    } catch (error) {
      for (const {reject} of batch.notifications) reject(error);
    }
  }
}

function createRefusedError(message: string): HollowstackError {
  return new HollowstackError('peer-refused', message);
}
