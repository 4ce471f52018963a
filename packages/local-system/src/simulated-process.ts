/** A process of the in-memory network, which can be paused, resumed and killed. */
export class SimulatedProcess {
  private state: 'running' | 'paused' | 'dead' = 'running';
  private pendingDeliveries: Array<() => void> = [];
  private deathListeners: Array<() => void> = [];

  isRunning(): boolean {
    return this.state === 'running';
  }

  isDead(): boolean {
    return this.state === 'dead';
  }

  /** Pauses the process, as SIGSTOP would. */
  pause(): void {
    if (this.state === 'running') this.state = 'paused';
  }

  /** Resumes the process, as SIGCONT would, and runs the deliveries queued during the pause. */
  resume(): void {
    if (this.state !== 'paused') return;
    this.state = 'running';
    for (const deliver of this.pendingDeliveries.splice(0)) deliver();
  }

  /** Kills the process, as SIGKILL would; queued deliveries are dropped. */
  kill(): void {
    this.state = 'dead';
    this.pendingDeliveries = [];
    for (const listener of this.deathListeners.splice(0)) listener();
  }

  /** Runs a delivery at once, after the pause if paused, or never if killed. */
  deliver(delivery: () => void): void {
    if (this.state === 'running') delivery();
    else if (this.state === 'paused') this.pendingDeliveries.push(delivery);
  }

  /** Resolves once the process runs; never resolves if it is killed. */
  waitUntilRunning(): Promise<void> {
    return new Promise(resolve => this.deliver(resolve));
  }

  /** Adds a function to call when the process is killed; returns a function that removes it. */
  addDeathListener(listener: () => void): () => void {
    this.deathListeners.push(listener);
    return () => {
      this.deathListeners = this.deathListeners.filter(
        other => other !== listener,
      );
    };
  }
}
