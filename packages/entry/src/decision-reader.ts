import type {DecisionLog, RequestDecisions} from '@hollowstack/decisions';
import {HollowstackError} from '@hollowstack/errors';
import type {Membership, PeerLink} from '@hollowstack/peers';
import {getInstanceOfRequest} from './request-ids.ts';

/** Milliseconds within which a peer must answer. */
const TIMEOUT_MS = 2000;

/**
 * Reads the recorded decisions about a request, from this instance or from the
 * one that the request id names.
 */
export class DecisionReader {
  private readonly decisionLog: DecisionLog;
  private readonly membership: Membership;
  private readonly link: PeerLink;

  constructor(
    decisionLog: DecisionLog,
    membership: Membership,
    link: PeerLink,
  ) {
    this.decisionLog = decisionLog;
    this.membership = membership;
    this.link = link;
  }

  /** @throws HollowstackError `not-found` if the instance named in the id is gone or has no record. */
  async readDecisions(requestId: string): Promise<RequestDecisions> {
    const own = this.decisionLog.getRequest(requestId);
    if (own) return own;
    const instance = getInstanceOfRequest(requestId);
    if (instance === this.membership.getSelf().id) {
      throw new HollowstackError(
        'not-found',
        `${requestId} is no longer remembered by ${instance}`,
      );
    }
    const peer = this.membership.findPeer(instance);
    if (!peer) {
      throw new HollowstackError(
        'not-found',
        `instance ${instance}, which served ${requestId}, is gone and its records with it`,
      );
    }
    const reply = await this.link.sendRequest(
      peer.address,
      {type: 'why', requestId},
      TIMEOUT_MS,
    );
    if (reply.type === 'why' && reply.found) return reply.found;
    throw new HollowstackError(
      'not-found',
      `${requestId} is no longer remembered by ${instance}`,
    );
  }
}
