import type {DecisionLog, RequestDecisions} from '@hollowstack/decisions';
import {HollowstackError} from '@hollowstack/errors';
import type {Membership, PeerLink} from '@hollowstack/peers';
import {getInstanceOfRequest} from './request-ids.ts';

/** Milliseconds for a peer's answer to an operator's question. */
const TIMEOUT_MS = 2000;

/**
 * Finds the decisions about a request, on this instance or the one its id
 * names.
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

  /** @throws HollowstackError `not-found` that says where the record would be. */
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
