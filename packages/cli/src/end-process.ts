/**
 * Milliseconds that the last lines may take to leave. A reader that has stopped reading
 * does not keep the process.
 */
const FLUSH_LIMIT_MS = 1000;

/**
 * Ends the process once its command has ended, whatever is still open. A gateway that had
 * stopped was there a minute later, until it was killed: a connection or a timer that
 * some part left behind keeps a process whose end only follows from having nothing to do.
 */
export function endProcess(exitCode: number): void {
  // The one place at which a process ends by itself; commands return their exit code.
  // eslint-disable-next-line n/no-process-exit
  const exit = () => process.exit(exitCode);
  setTimeout(exit, FLUSH_LIMIT_MS);
  process.stdout.write('', exit);
}

/** Formats what keeps the process: kinds of resources with their count. */
export function formatOpenResources(): string {
  const counts = new Map<string, number>();
  for (const kind of process.getActiveResourcesInfo()) {
    counts.set(kind, (counts.get(kind) ?? 0) + 1);
  }
  return [...counts].map(([kind, count]) => `${kind}:${count}`).join(' ');
}
