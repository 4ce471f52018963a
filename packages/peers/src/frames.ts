/** Largest payload of a frame from an authenticated peer, in bytes. */
export const MAX_FRAME_BYTES = 8 * 1024 * 1024;
/** Bytes of the length prefix of each frame. */
const LENGTH_BYTES = 4;

/** A received frame is malformed, too large, unexpected or not authentic. */
export class FrameError extends Error {
  constructor(message: string) {
    super(message);
    this.name = 'FrameError';
  }
}

/**
 * Encodes a frame: the length of the payload in four bytes, big-endian, then the
 * payload.
 */
export function encodeFrame(payload: Uint8Array): Buffer {
  const frame = Buffer.allocUnsafe(LENGTH_BYTES + payload.length);
  frame.writeUInt32BE(payload.length, 0);
  frame.set(payload, LENGTH_BYTES);
  return frame;
}

/** Splits a byte stream into frames. */
export class FrameDecoder {
  private chunks: Buffer[] = [];
  private bufferedBytes = 0;
  private maxBytes: number;

  /** @param maxBytes Largest payload that is accepted. */
  constructor(maxBytes: number) {
    this.maxBytes = maxBytes;
  }

  setMaxBytes(maxBytes: number): void {
    this.maxBytes = maxBytes;
  }

  /** Adds received bytes. */
  addBytes(bytes: Uint8Array): void {
    this.chunks.push(Buffer.from(bytes));
    this.bufferedBytes += bytes.length;
  }

  /**
   * Takes the payload of the next frame, or undefined if the frame is not complete yet. The
   * limit in force at this call applies.
   *
   * @throws FrameError if the frame is over the limit, even before its payload arrives.
   */
  takePayload(): Buffer | undefined {
    if (this.bufferedBytes < LENGTH_BYTES) return undefined;
    const frameBytes = LENGTH_BYTES + this.getNextSize();
    if (this.bufferedBytes < frameBytes) return undefined;
    return this.takeBytes(frameBytes).subarray(LENGTH_BYTES);
  }

  private getNextSize(): number {
    if (this.chunks[0].length < LENGTH_BYTES) this.joinChunks();
    const size = this.chunks[0].readUInt32BE(0);
    if (size > this.maxBytes) {
      throw new FrameError(`frame of ${size} bytes is over ${this.maxBytes}`);
    }
    return size;
  }

  private takeBytes(count: number): Buffer {
    if (this.chunks[0].length < count) this.joinChunks();
    const taken = this.chunks[0].subarray(0, count);
    this.chunks[0] = this.chunks[0].subarray(count);
    this.bufferedBytes -= count;
    if (this.chunks[0].length === 0) this.chunks.shift();
    return taken;
  }

  private joinChunks(): void {
    this.chunks = [Buffer.concat(this.chunks)];
  }
}
