const DATA_PREFIX = 'data:';
/** Character code of a space. */
const SPACE_CODE = 32;

/**
 * Yields the data of server-sent events. The events of one chunk are yielded together,
 * so that a relay resumes once per chunk. Fields other than `data` are ignored.
 */
export async function* readServerSentEvents(
  body: AsyncIterable<Uint8Array>,
): AsyncGenerator<readonly string[]> {
  const decoder = new TextDecoder();
  let rest = '';
  for await (const chunk of body) {
    rest += decoder.decode(chunk, {stream: true});
    if (rest.includes('\r')) rest = rest.replaceAll('\r\n', '\n');
    const end = rest.lastIndexOf('\n\n');
    if (end < 0) continue;
    const events = rest.slice(0, end).split('\n\n');
    rest = rest.slice(end + 2);
    const batch = events.map(parseEventData).filter(data => data !== undefined);
    if (batch.length > 0) yield batch;
  }
}

/** Encodes one server-sent event; `data` must not contain a line end. */
export function encodeServerSentEvent(data: string, event?: string): Buffer {
  const head = event === undefined ? '' : `event: ${event}\n`;
  return Buffer.from(`${head}data: ${data}\n\n`);
}

function parseEventData(event: string): string | undefined {
  if (event.startsWith(DATA_PREFIX) && !event.includes('\n')) {
    return readData(event);
  }
  const lines = event.split('\n').filter(line => line.startsWith(DATA_PREFIX));
  if (lines.length === 0) return undefined;
  return lines.map(readData).join('\n');
}

function readData(line: string): string {
  const start = DATA_PREFIX.length;
  return line.slice(line.charCodeAt(start) === SPACE_CODE ? start + 1 : start);
}
