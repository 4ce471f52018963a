import {AnswerLimitError} from '@hollowstack/transport';

/** ASCII code of a line feed. */
const LINE_FEED = 10;
/** ASCII code of a carriage return. */
const CARRIAGE_RETURN = 13;

const NO_BYTES = Buffer.alloc(0);

/** Complete events of a stream, and the last id among them if any has one. */
export interface CompleteEvents {
  readonly bytes: Buffer;
  readonly lastId: string | undefined;
}

/** Maximum size in bytes of one event. */
const MAX_EVENT_BYTES = 1024 * 1024;
/** Number of bytes before a chunk that may belong to an event's end within the chunk. */
const OVERLAP_BYTES = 2;

/**
 * Splits a stream of server-sent events at event boundaries, so that only complete events
 * are forwarded if an upstream stops in the middle of one.
 */
export class EventSplitter {
  /** Chunks of the unfinished event. */
  private rest: Buffer[] = [];
  private restBytes = 0;

  /**
   * Appends bytes and returns the events that they complete; undefined if there are none.
   *
   * @throws AnswerLimitError if an event is too large.
   */
  addBytes(chunk: Buffer): CompleteEvents | undefined {
    const overlap = this.getOverlap();
    const searched =
      overlap.length === 0 ? chunk : Buffer.concat([overlap, chunk]);
    const end = findLastEventEnd(searched) - overlap.length;
    if (end <= 0) {
      this.addRest(chunk);
      return undefined;
    }
    const bytes =
      this.restBytes === 0
        ? chunk.subarray(0, end)
        : Buffer.concat([...this.rest, chunk.subarray(0, end)]);
    this.rest = [];
    this.restBytes = 0;
    this.addRest(chunk.subarray(end));
    return {bytes, lastId: findLastId(bytes)};
  }

  /** Returns the number of bytes after the last complete event. */
  countRestBytes(): number {
    return this.restBytes;
  }

  private addRest(bytes: Buffer): void {
    if (bytes.length === 0) return;
    this.rest.push(bytes);
    this.restBytes += bytes.length;
    if (this.restBytes <= MAX_EVENT_BYTES) return;
    const message = `an event of the stream has over ${MAX_EVENT_BYTES} bytes`;
    throw new AnswerLimitError('event', message);
  }

  private getOverlap(): Buffer {
    const last = this.rest.at(-1) ?? NO_BYTES;
    if (last.length >= OVERLAP_BYTES || this.rest.length < 2) {
      return last.subarray(-OVERLAP_BYTES);
    }
    const before = this.rest[this.rest.length - 2];
    return Buffer.concat([before.subarray(-1), last]);
  }
}

function findLastEventEnd(bytes: Buffer): number {
  let index = bytes.lastIndexOf(LINE_FEED);
  while (index > 0) {
    const previous = bytes[index - 1];
    if (previous === LINE_FEED) return index + 1;
    const isAfterReturn =
      previous === CARRIAGE_RETURN && bytes[index - 2] === LINE_FEED;
    if (isAfterReturn) return index + 1;
    index = bytes.lastIndexOf(LINE_FEED, index - 1);
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
