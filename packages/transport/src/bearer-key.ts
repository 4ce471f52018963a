import {createHash, timingSafeEqual} from 'node:crypto';

/**
 * Returns whether an `Authorization` header contains one of the keys as a bearer token.
 * Compares digests in constant time, so that the duration reveals nothing about a key.
 */
export function hasBearerKey(
  header: string | undefined,
  keys: readonly string[],
): boolean {
  const given = computeDigest((header ?? '').replace(/^Bearer /, ''));
  return keys
    .map(key => timingSafeEqual(computeDigest(key), given))
    .includes(true);
}

function computeDigest(text: string): Buffer {
  return createHash('sha256').update(text).digest();
}
