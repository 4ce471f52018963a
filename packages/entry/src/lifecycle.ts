/** Lifecycle state of an instance; `draining` still serves requests, `closing` refuses them. */
export type LifecycleState = 'starting' | 'ready' | 'draining' | 'closing';

/** Tracks the instance's lifecycle state and its requests in progress. */
export class Lifecycle {
  private state: LifecycleState = 'starting';
  private inProgress = 0;
  private readonly idleListeners: Array<() => void> = [];

  getState(): LifecycleState {
    return this.state;
  }

  setState(state: LifecycleState): void {
    this.state = state;
  }

  countInProgress(): number {
    return this.inProgress;
  }

  /** Records that a request has begun; the returned function records its end. */
  beginRequest(): () => void {
    this.inProgress += 1;
    let isEnded = false;
    return () => {
      if (isEnded) return;
      isEnded = true;
      this.inProgress -= 1;
      if (this.inProgress === 0) this.callIdleListeners();
    };
  }

  /** Resolves once no request is in progress. */
  waitForIdle(): Promise<void> {
    if (this.inProgress === 0) return Promise.resolve();
    return new Promise(resolve => this.idleListeners.push(resolve));
  }

  private callIdleListeners(): void {
    for (const listener of this.idleListeners.splice(0)) listener();
  }
}
