import {deflateRawSync, inflateRawSync} from 'node:zlib';
import {z} from 'zod';
import {FrameError, MAX_FRAME_BYTES} from './frames.ts';

/** A plain text, or its raw deflate bytes (RFC 1951). */
export const compressedTextSchema = z.union([
  z.string(),
  z.instanceof(Uint8Array),
]);
/** A text as it is sent to a peer: a plain string, or raw deflate bytes if it is long. */
export type CompressedText = z.infer<typeof compressedTextSchema>;

/** A text as raw deflate bytes. */
type CompressedBytes = Exclude<CompressedText, string>;

/**
 * Shorter texts are sent uncompressed. The registration of an upstream has about 300
 * characters and would gain little.
 */
const MIN_COMPRESSED_CHARACTERS = 8192;
/** Maximum number of compressed texts in the cache, which holds the newest configurations. */
const MAX_CACHED_TEXTS = 4;
/** zlib's fastest level; higher levels take three times as long to save a tenth more. */
const DEFLATE_LEVEL = 1;

/**
 * Compresses long texts for peers, and each text only once. A configuration of 1,900
 * routes has about 600 KB; sending it to seven peers over a link of 7 Mbit/s would take
 * 5 s. Compressed, it is a tenth of that size or less.
 */
export class TextCompressor {
  private readonly compressedByText = new Map<string, CompressedBytes>();

  /**
   * Compresses a text if it is long and the peer supports compression; otherwise returns
   * it unchanged.
   *
   * @param isCompressionSupported Whether the peer accepts compressed texts.
   */
  encodeText(text: string, isCompressionSupported: boolean): CompressedText {
    if (!isCompressionSupported || text.length < MIN_COMPRESSED_CHARACTERS)
      return text;
    const cached = this.compressedByText.get(text);
    if (cached) return cached;
    const bytes = new Uint8Array(deflateRawSync(text, {level: DEFLATE_LEVEL}));
    this.compressedByText.set(text, bytes);
    this.removeOldest();
    return bytes;
  }

  private removeOldest(): void {
    if (this.compressedByText.size <= MAX_CACHED_TEXTS) return;
    const [oldest] = this.compressedByText.keys();
    this.compressedByText.delete(oldest);
  }
}

/**
 * Restores a text that a peer has sent.
 *
 * @throws FrameError if the bytes are not valid deflate data, or inflate to more than the
 *   maximum size of a frame.
 */
export function decodeText(text: CompressedText): string {
  if (typeof text === 'string') return text;
  try {
    const options = {maxOutputLength: MAX_FRAME_BYTES};
    return inflateRawSync(text, options).toString('utf8');
  } catch (error) {
    const reason = error instanceof Error ? error.message : String(error);
    throw new FrameError(`a deflated text cannot be read: ${reason}`);
  }
}
