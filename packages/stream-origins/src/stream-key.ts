import {createHash} from 'node:crypto';

/** What identifies a stream across the attempts of its caller. */
export interface StreamIdentity {
  /** Empty for a public route. */
  readonly workspace: string;
  readonly route: string;
  /** Id of the request whose answer brought the first event. */
  readonly requestId: string;
}

/**
 * Computes the key of a stream. It depends on the workspace and the route, so that a request
 * of another workspace or route that names the same id does not find the stream.
 */
export function computeStreamKey({
  workspace,
  route,
  requestId,
}: StreamIdentity): string {
  return createHash('sha1')
    .update(JSON.stringify([workspace, route, requestId]))
    .digest('base64');
}
