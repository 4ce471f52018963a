import {addCloseHandler} from '@hollowstack/cancellation';
import {HollowstackError} from '@hollowstack/errors';
import type {CallerLimits} from '@hollowstack/routes';
import type {MemoryBudget} from '@hollowstack/transport';
import type {IncomingMessage, ServerResponse} from 'node:http';

/** Bytes that may frame a body of any size. */
const MAX_FRAMING_BYTES = 64 * 1024;

/** Dependencies and limits for reading a body. */
export interface RequestBodyParts {
  readonly limits: CallerLimits;
  /** Holds the body until its request is answered. */
  readonly memory: MemoryBudget;
  readonly outgoing: ServerResponse;
}

/**
 * Reads the complete body of a caller's request; undefined if it has none. After an error the
 * rest of the body stays unread, so that the caller can be answered.
 *
 * @throws HollowstackError `caller-gone` if the body breaks off, `payload-too-large` if it
 * exceeds `limits.bodyBytes` or consists mostly of framing, `overloaded` if this instance has no
 * memory for it.
 */
export async function readRequestBody(
  incoming: IncomingMessage,
  {limits, memory, outgoing}: RequestBodyParts,
): Promise<Buffer | undefined> {
  const {headers, socket} = incoming;
  const hasBody =
    headers['transfer-encoding'] !== undefined ||
    headers['content-length'] !== undefined;
  if (!hasBody) return undefined;
  checkSize(Number(headers['content-length'] ?? 0), limits);
  let chunks: Buffer[] = [];
  let size = 0;
  let isCancelled = false;
  const reservation = memory.createReservation(() => {
    isCancelled = true;
    chunks = [];
  });
  addCloseHandler(outgoing, () => reservation.release());
  const bytesBefore = socket.bytesRead;
  try {
    for await (const chunk of incoming.iterator({destroyOnReturn: false})) {
      chunks.push(chunk);
      size += chunk.length;
      checkSize(size, limits);
      checkFraming(socket.bytesRead - bytesBefore, size);
      reservation.setBytes(size);
      if (isCancelled) throw createMemoryError();
    }
  } catch (error) {
    reservation.release();
    if (error instanceof HollowstackError) throw error;
    throw new HollowstackError('caller-gone', 'the body broke off', {
      ran: 'no',
      cause: error,
    });
  }
  reservation.finishReading();
  return Buffer.concat(chunks, size);
}

function checkSize(byteCount: number, {bodyBytes}: CallerLimits): void {
  if (byteCount <= bodyBytes) return;
  throw new HollowstackError(
    'payload-too-large',
    `the body has more than ${bodyBytes} bytes`,
  );
}

// The part of the body that was received with the head makes the difference smaller.
function checkFraming(receivedBytes: number, bodyBytes: number): void {
  const framingBytes = receivedBytes - bodyBytes;
  if (framingBytes <= Math.max(MAX_FRAMING_BYTES, bodyBytes)) return;
  throw new HollowstackError(
    'payload-too-large',
    `${framingBytes} bytes frame a body of ${bodyBytes} bytes`,
  );
}

function createMemoryError(): HollowstackError {
  return new HollowstackError(
    'overloaded',
    'this instance has no memory for the body',
    {ran: 'no'},
  );
}
