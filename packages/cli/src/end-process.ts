/**
 * Time to flush standard output. After it the process exits even if the reader of its
 * output has stopped reading.
 */
const FLUSH_TIMEOUT_MS = 1000;

/**
 * Ends the process once its command has ended, even if resources are still open. A stopped
 * gateway once ran on for a minute until it was killed: a leaked connection or timer keeps
 * a process alive that only exits when its event loop is empty.
 */
export function endProcess(exitCode: number): void {
  // The only place where the process exits; commands return their exit code.
  // eslint-disable-next-line n/no-process-exit
  const exit = () => process.exit(exitCode);
  setTimeout(exit, FLUSH_TIMEOUT_MS);
  process.stdout.write('', exit);
}

/** Formats the resources that keep the process alive, by kind with their count. */
export function formatOpenResources(): string {
  const counts = new Map<string, number>();
  for (const kind of process.getActiveResourcesInfo()) {
    counts.set(kind, (counts.get(kind) ?? 0) + 1);
  }
  return [...counts].map(([kind, count]) => `${kind}:${count}`).join(' ');
}
