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

  /**
   * Adds received bytes and returns the payloads of the frames that are now complete.
   *
   * @throws FrameError if a frame is over the limit, even before its payload arrives.
   */
  addBytes(bytes: Uint8Array): Buffer[] {
    this.chunks.push(Buffer.from(bytes));
    this.bufferedBytes += bytes.length;
    const payloads: Buffer[] = [];
    while (this.bufferedBytes >= LENGTH_BYTES) {
      const size = this.getNextSize();
      if (this.bufferedBytes < LENGTH_BYTES + size) break;
      const frame = this.takeBytes(LENGTH_BYTES + size);
      payloads.push(frame.subarray(LENGTH_BYTES));
    }
    return payloads;
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
