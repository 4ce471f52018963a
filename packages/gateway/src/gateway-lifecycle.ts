import type {Clock} from '@hollowstack/clock';
import type {ServerResponse} from 'node:http';

/** Where in its life a gateway is. */
export type GatewayState = 'starting' | 'ready' | 'draining' | 'closing';

/** The gateway's state, and the answers it still owes. */
export class GatewayLifecycle {
  private state: GatewayState = 'starting';
  private readonly openResponses = new Set<ServerResponse>();
  private readonly rejectHandlers = new Set<() => void>();
  private readonly startWaiters: Array<() => void> = [];

  /** Changes the state; whoever waits for the end of the start goes on. */
  setState(state: GatewayState): void {
    this.state = state;
    for (const resolve of this.startWaiters.splice(0)) resolve();
  }

  /**
   * Resolves once the instance has what it needs to decide, or the time is over.
   *
   * @param limitMs Milliseconds to wait at most.
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

  /** Returns whether requests that come now are refused, so that those in progress can end. */
  isClosing(): boolean {
    return this.state === 'closing';
  }

  countInProgress(): number {
    return this.openResponses.size;
  }

  /** Notes that a request has begun; the returned function ends it. */
  beginRequest(outgoing: ServerResponse): () => void {
    this.openResponses.add(outgoing);
    return () => this.openResponses.delete(outgoing);
  }

  /**
   * Adds a function that refuses a request if nothing of it was sent to an
   * upstream yet; the returned function removes it.
   */
  addRejectHandler(rejectHandler: () => void): () => void {
    this.rejectHandlers.add(rejectHandler);
    return () => this.rejectHandlers.delete(rejectHandler);
  }

  /** Refuses every request of which nothing was sent to an upstream yet. */
  rejectUnsent(): void {
    for (const rejectHandler of [...this.rejectHandlers]) rejectHandler();
  }

  /** Has each answer that has not begun close its connection. */
  closeConnectionsAfterAnswers(): void {
    for (const outgoing of this.openResponses) {
      if (!outgoing.headersSent) outgoing.setHeader('Connection', 'close');
    }
  }
}
