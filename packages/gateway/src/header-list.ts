/** Names of hop-by-hop headers, in lower case. */
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
 * Copies the headers that are forwarded: all but hop-by-hop headers, those that
 * `Connection` lists and those in `dropped`. Order and spelling are preserved.
 *
 * @param rawHeaders Alternating names and values.
 * @param dropped Names in lower case.
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
  // A `Connection` header must not remove headers that control framing and routing.
  for (const protectedName of ['host', 'content-length', 'content-type']) {
    names.delete(protectedName);
  }
  return names;
}
