import type {Decision} from '@hollowstack/types';

/** All decisions about one request, in order. */
export interface RequestDecisions {
  readonly requestId: string;
  readonly workspace: string;
  /** Name of the pipeline or service. */
  readonly target: string;
  /** Milliseconds since the epoch. */
  readonly arrivedAtMs: number;
  readonly decisions: Decision[];
}

/** Stores the decisions about the newest requests and evicts the oldest beyond its capacity. */
export class DecisionLog {
  private readonly capacity: number;
  private readonly requests = new Map<string, RequestDecisions>();

  /** @param capacity Maximum number of requests stored. */
  constructor(capacity = 2000) {
    this.capacity = capacity;
  }

  /** Creates the record of a request; the caller appends its decisions. */
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

  /** Returns the record of a request; undefined if it is unknown or evicted. */
  getRequest(requestId: string): RequestDecisions | undefined {
    return this.requests.get(requestId);
  }
}
