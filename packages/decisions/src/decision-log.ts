import type {Decision} from '@hollowstack/types';

/** Everything decided about one request, in order. */
export interface RequestDecisions {
  readonly requestId: string;
  readonly workspace: string;
  /** Pipeline or service. */
  readonly target: string;
  /** Milliseconds since the epoch. */
  readonly arrivedAtMs: number;
  readonly decisions: Decision[];
}

/** Keeps the decisions about the newest requests in bounded memory. */
export class DecisionLog {
  private readonly capacity: number;
  private readonly requests = new Map<string, RequestDecisions>();

  /** @param capacity Most requests to remember. */
  constructor(capacity = 2000) {
    this.capacity = capacity;
  }

  /** Begins the record of a request. */
  startRequest(
    requestId: string,
    workspace: string,
    target: string,
    arrivedAtMs: number,
  ): RequestDecisions {
    const record: RequestDecisions = {
      requestId,
      workspace,
      target,
      arrivedAtMs,
      decisions: [],
    };
    this.requests.set(requestId, record);
    if (this.requests.size > this.capacity) {
      const oldest = this.requests.keys().next().value!;
      this.requests.delete(oldest);
    }
    return record;
  }

  /** Returns the record of a request, or undefined where it is not remembered. */
  getRequest(requestId: string): RequestDecisions | undefined {
    return this.requests.get(requestId);
  }
}
