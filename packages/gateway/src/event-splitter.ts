/** ASCII code of a line feed. */
const LINE_FEED = 10;
/** ASCII code of a carriage return. */
const CARRIAGE_RETURN = 13;

/** Complete events of a stream, and the last id among them if any has one. */
export interface CompleteEvents {
  readonly bytes: Buffer;
  readonly lastId: string | undefined;
}

/**
 * Splits a stream of server-sent events at event boundaries, so that only complete events
 * are forwarded if an upstream stops in the middle of one.
 */
export class EventSplitter {
  private rest: Buffer = Buffer.alloc(0);

  /** Appends bytes and returns the events that they complete; undefined if there are none. */
  addBytes(chunk: Buffer): CompleteEvents | undefined {
    const bytes =
      this.rest.length === 0 ? chunk : Buffer.concat([this.rest, chunk]);
    const end = findLastEventEnd(bytes);
    if (end === 0) {
      this.rest = bytes;
      return undefined;
    }
    this.rest = bytes.subarray(end);
    const whole = bytes.subarray(0, end);
    return {bytes: whole, lastId: findLastId(whole)};
  }

  /** Returns the bytes after the last complete event. */
  getRest(): Buffer {
    return this.rest;
  }
}

function findLastEventEnd(bytes: Buffer): number {
  for (let index = bytes.length - 1; index > 0; index--) {
    if (bytes[index] !== LINE_FEED) continue;
    if (bytes[index - 1] === LINE_FEED) return index + 1;
    const isAfterReturn =
      bytes[index - 1] === CARRIAGE_RETURN && bytes[index - 2] === LINE_FEED;
    if (isAfterReturn) return index + 1;
  }
  return 0;
}

function findLastId(events: Buffer): string | undefined {
  const text = events.toString('latin1');
  const start = Math.max(
    text.lastIndexOf('\nid:'),
    text.startsWith('id:') ? 0 : -1,
  );
  if (start < 0) return undefined;
  const from = text.indexOf(':', start) + 1;
  const end = text.indexOf('\n', from);
  return text.slice(from, end).trim();
}
