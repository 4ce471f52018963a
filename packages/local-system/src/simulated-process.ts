/** Whether a process of the in-memory network runs, stands still or is gone. */
export class SimulatedProcess {
  private state: 'running' | 'paused' | 'dead' = 'running';
  private waiting: Array<() => void> = [];
  private deathListeners: Array<() => void> = [];

  isRunning(): boolean {
    return this.state === 'running';
  }

  isDead(): boolean {
    return this.state === 'dead';
  }

  /** Stops the process as SIGSTOP would. */
  pause(): void {
    if (this.state === 'running') this.state = 'paused';
  }

  /** Lets it go on as SIGCONT would; what came meanwhile is delivered. */
  resume(): void {
    if (this.state !== 'paused') return;
    this.state = 'running';
    for (const deliver of this.waiting.splice(0)) deliver();
  }

  /** Ends the process as SIGKILL would. */
  kill(): void {
    this.state = 'dead';
    this.waiting = [];
    for (const listener of this.deathListeners.splice(0)) listener();
  }

  /** Runs a delivery now, after the pause, or never. */
  deliver(delivery: () => void): void {
    if (this.state === 'running') delivery();
    else if (this.state === 'paused') this.waiting.push(delivery);
  }

  /** Resolves once the process runs; never where it is gone. */
  waitUntilRunning(): Promise<void> {
    return new Promise(resolve => this.deliver(resolve));
  }

  /** Adds a function that is called when the process is killed; returns its removal. */
  addDeathListener(listener: () => void): () => void {
    this.deathListeners.push(listener);
    return () => {
      this.deathListeners = this.deathListeners.filter(
        other => other !== listener,
      );
    };
  }
}
