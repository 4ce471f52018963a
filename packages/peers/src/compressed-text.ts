import {deflateRawSync, inflateRawSync} from 'node:zlib';
import {z} from 'zod';
import {FrameError, MAX_FRAME_BYTES} from './frames.ts';

export /**
 *
 */
const compressedTextSchema = z.union([z.string(), z.instanceof(Uint8Array)]);
/** A text as it goes to a peer: as it is, or deflated (RFC 1951) where it is long. */
export type CompressedText = z.infer<typeof compressedTextSchema>;

/** A deflated text. */
type CompressedBytes = Exclude<CompressedText, string>;

/**
 * Characters from which on a text is deflated; a registration of an upstream, which
 * would gain little, has some 300.
 */
const MIN_COMPRESSED_CHARACTERS = 8192;
/** Packed texts that are remembered: the newest configurations. */
const MAX_CACHED_TEXTS = 4;
/** zlib's fastest level; the higher ones take three times as long for a tenth less. */
const DEFLATE_LEVEL = 1;

/**
 * Deflates long texts for peers, each once. A configuration of 1,900 routes has some
 * 600 KB, and an instance that passes it on to seven others over a link of 7 Mbit/s
 * would need 5 s as it is; deflated it is a tenth of that or less.
 */
export class TextCompressor {
  private readonly compressedByText = new Map<string, CompressedBytes>();

  /**
   * Returns the text as it is sent.
   *
   * @param isCompressionSupported Whether the peer understands deflated texts.
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
 * @throws FrameError where it cannot be inflated within the size of a frame.
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
