import type {IncomingMessage} from 'node:http';
import type {Duplex} from 'node:stream';
import {AnswerLimitError} from './answer-limit-error.ts';

/**
 * Maximum number of bytes before the end of a head, in bytes: the largest head that the parser
 * accepts, and as much for interim answers and empty lines, which it does not limit.
 */
const MAX_HEAD_BYTES = 32 * 1024;
/** Number of bytes that may frame a body of any size, including the head of the answer. */
const MAX_FRAMING_BYTES = 64 * 1024;

/** Limits the bytes of an answer that are neither its head nor its body. */
export class AnswerGuard {
  private readonly handleExcess: (error: AnswerLimitError) => void;
  private receivedBytes = 0;
  private bodyBytes = 0;
  private head: IncomingMessage | undefined;

  /** @param handleExcess Called once a limit is exceeded; closes the connection. */
  constructor(handleExcess: (error: AnswerLimitError) => void) {
    this.handleExcess = handleExcess;
  }

  /**
   * Counts the bytes of a stream, whose listeners that parse them are set already. The returned
   * function ends this.
   */
  watchStream(stream: Duplex): () => void {
    const countBytes = (bytes: Buffer) => this.countBytes(bytes.length);
    stream.on('data', countBytes);
    return () => stream.off('data', countBytes);
  }

  /** Records that the head of the answer is complete. */
  recordHead(head: IncomingMessage): void {
    this.head = head;
  }

  /** Records bytes of the body that were read from the answer. */
  recordBody(byteCount: number): void {
    this.bodyBytes += byteCount;
  }

  private countBytes(byteCount: number): void {
    this.receivedBytes += byteCount;
    const {head, receivedBytes} = this;
    if (!head) {
      if (receivedBytes > MAX_HEAD_BYTES) this.rejectHead();
      return;
    }
    if (receivedBytes <= MAX_FRAMING_BYTES || head.complete) return;
    const bodyBytes = this.bodyBytes + head.readableLength;
    const framingBytes = receivedBytes - bodyBytes;
    if (framingBytes <= Math.max(MAX_FRAMING_BYTES, bodyBytes)) return;
    const message = `${framingBytes} bytes frame a body of ${bodyBytes} bytes`;
    this.handleExcess(new AnswerLimitError('framing', message));
  }

  private rejectHead(): void {
    const message = `no head of an answer within ${MAX_HEAD_BYTES} bytes`;
    this.handleExcess(new AnswerLimitError('head', message));
  }
}
