import {HollowstackError} from '@hollowstack/errors';
import type {CallerLimits} from '@hollowstack/routes';
import type {IncomingMessage} from 'node:http';

/**
 * Reads the complete body of a caller's request; undefined if it has none.
 *
 * @throws HollowstackError `caller-gone` if the body breaks off, `payload-too-large` if it
 * exceeds `limits.bodyBytes`.
 */
export async function readRequestBody(
  incoming: IncomingMessage,
  limits: CallerLimits,
): Promise<Buffer | undefined> {
  const {headers} = incoming;
  const hasBody =
    headers['transfer-encoding'] !== undefined ||
    headers['content-length'] !== undefined;
  if (!hasBody) return undefined;
  const chunks: Buffer[] = [];
  let size = 0;
  try {
    for await (const chunk of incoming) {
      chunks.push(chunk);
      size += chunk.length;
      if (size > limits.bodyBytes) break;
    }
  } catch (error) {
    throw new HollowstackError('caller-gone', 'the body broke off', {
      ran: 'no',
      cause: error,
    });
  }
  if (size <= limits.bodyBytes) return Buffer.concat(chunks, size);
  throw new HollowstackError(
    'payload-too-large',
    `the body has more than ${limits.bodyBytes} bytes`,
  );
}
