import type {Clock} from '@hollowstack/clock';
import type {ServerResponse} from 'node:http';
import {cancelAnswer} from './answer-writer.ts';

/** State of a gateway from its start to its end; `closing` rejects new requests. */
export type GatewayState = 'starting' | 'ready' | 'draining' | 'closing';

/** State of the gateway and its requests in progress. */
export class GatewayLifecycle {
  private state: GatewayState = 'starting';
  private readonly openResponses = new Set<ServerResponse>();
  private readonly rejectHandlers = new Set<() => void>();
  private readonly startWaiters: Array<() => void> = [];

  /** Changes the state and resolves the promises of waitForStart. */
  setState(state: GatewayState): void {
    this.state = state;
    for (const resolve of this.startWaiters.splice(0)) resolve();
  }

  /**
   * Resolves once the start is complete or the time is over.
   *
   * @param limitMs Maximum wait in milliseconds; no wait if not positive.
   */
  async waitForStart(clock: Clock, limitMs: number): Promise<void> {
    if (this.state !== 'starting' || limitMs <= 0) return;
    await new Promise<void>(resolve => {
      const timer = clock.schedule(limitMs, resolve);
      this.startWaiters.push(() => {
        timer.cancel();
        resolve();
      });
    });
  }

  isReady(): boolean {
    return this.state === 'ready';
  }

  isStopping(): boolean {
    return this.state === 'draining' || this.isClosing();
  }

  /** Returns whether new requests are rejected, so that those in progress can be completed. */
  isClosing(): boolean {
    return this.state === 'closing';
  }

  countInProgress(): number {
    return this.openResponses.size;
  }

  /** Counts a request as in progress until the returned function is called. */
  beginRequest(outgoing: ServerResponse): () => void {
    this.openResponses.add(outgoing);
    return () => this.openResponses.delete(outgoing);
  }

  /**
   * Adds a function that rejects a request if it was not sent to an upstream yet; the
   * returned function removes it.
   */
  addRejectHandler(rejectHandler: () => void): () => void {
    this.rejectHandlers.add(rejectHandler);
    return () => this.rejectHandlers.delete(rejectHandler);
  }

  /** Rejects every request that was not sent to an upstream yet. */
  rejectUnsent(): void {
    for (const rejectHandler of [...this.rejectHandlers]) rejectHandler();
  }

  /** Ends the answers that have begun, so that they do not look complete. */
  closeBegunAnswers(): void {
    for (const outgoing of this.openResponses) {
      const hasBegun = outgoing.headersSent && !outgoing.writableEnded;
      if (hasBegun) cancelAnswer(outgoing);
    }
  }

  /** Makes each answer that has not begun close its connection. */
  closeConnectionsAfterAnswers(): void {
    for (const outgoing of this.openResponses) {
      if (!outgoing.headersSent) outgoing.setHeader('Connection', 'close');
    }
  }
}
