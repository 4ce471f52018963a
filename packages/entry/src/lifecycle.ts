/** Where in its life an instance is. */
export type LifecycleState = 'starting' | 'ready' | 'draining' | 'closing';

/** The instance's state and its requests in progress. */
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

  /** Notes that a request has begun; the returned function ends it. */
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
