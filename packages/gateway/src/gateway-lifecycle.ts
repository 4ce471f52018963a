import type {ServerResponse} from 'node:http';

/** Where in its life a gateway is. */
export type GatewayState = 'starting' | 'ready' | 'draining' | 'closing';

/** The gateway's state, and the answers it still owes. */
export class GatewayLifecycle {
  private state: GatewayState = 'starting';
  private readonly open = new Set<ServerResponse>();

  setState(state: GatewayState): void {
    this.state = state;
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

  getInProgress(): number {
    return this.open.size;
  }

  /** Notes that a request has begun; the returned function ends it. */
  beginRequest(outgoing: ServerResponse): () => void {
    this.open.add(outgoing);
    return () => this.open.delete(outgoing);
  }

  /** Has each answer that has not begun close its connection. */
  closeConnectionsAfterAnswers(): void {
    for (const outgoing of this.open) {
      if (!outgoing.headersSent) outgoing.setHeader('Connection', 'close');
    }
  }
}
