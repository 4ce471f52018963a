import {createHash} from 'node:crypto';

/** Content that identifies a request, independent of its id and deadline. */
export interface RequestContent {
  readonly method: string;
  readonly host: string;
  /** Path with the query. */
  readonly path: string;
  /**
   * Workspace of the caller; empty for a public route. Included so that one workspace
   * cannot cause the requests of another one to be refused.
   */
  readonly workspace: string;
  readonly body: Uint8Array | undefined;
}

/** Digest length; with 128 bits, accidental collisions are negligible. */
const FINGERPRINT_BYTES = 16;

/**
 * Computes a hexadecimal hash that is equal for requests with the same content. It reveals
 * nothing about the content, so it may be logged.
 */
export function computeFingerprint(content: RequestContent): string {
  const {method, host, path, workspace, body} = content;
  // JSON delimits the fields unambiguously, whatever they contain.
  const head = JSON.stringify([method, host, path, workspace]);
  const hash = createHash('sha256').update(head);
  if (body) hash.update(body);
  return hash.digest().subarray(0, FINGERPRINT_BYTES).toString('hex');
}
