/** Names that concern one connection only, in small letters. */
const CONNECTION_HEADERS: ReadonlySet<string> = new Set([
  'connection',
  'keep-alive',
  'proxy-authenticate',
  'proxy-authorization',
  'proxy-connection',
  'te',
  'trailer',
  'transfer-encoding',
  'upgrade',
]);

/**
 * Copies headers that are passed on: those that concern one connection, those
 * that `Connection` names and those in `dropped` stay behind.
 *
 * @param rawHeaders Names and values in turn.
 * @param dropped Names in small letters.
 */
export function listEndToEndHeaders(
  rawHeaders: readonly string[],
  dropped: ReadonlySet<string>,
): string[] {
  const connectionNames = listConnectionNames(rawHeaders);
  const copied: string[] = [];
  for (let index = 0; index < rawHeaders.length; index += 2) {
    const name = rawHeaders[index].toLowerCase();
    if (CONNECTION_HEADERS.has(name) || connectionNames.has(name)) continue;
    if (dropped.has(name)) continue;
    copied.push(rawHeaders[index], rawHeaders[index + 1]);
  }
  return copied;
}

function listConnectionNames(rawHeaders: readonly string[]): Set<string> {
  const names = new Set<string>();
  for (let index = 0; index < rawHeaders.length; index += 2) {
    if (rawHeaders[index].toLowerCase() !== 'connection') continue;
    for (const name of rawHeaders[index + 1].split(',')) {
      names.add(name.trim().toLowerCase());
    }
  }
  // What decides how a request is framed and routed is never dropped by a name.
  for (const protectedName of ['host', 'content-length', 'content-type']) {
    names.delete(protectedName);
  }
  return names;
}
