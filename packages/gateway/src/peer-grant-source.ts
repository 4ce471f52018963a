import {
  chooseCoordinator,
  type Membership,
  type PeerLink,
} from '@hollowstack/peers';
import type {
  GrantDecision,
  GrantRequest,
  LimitReport,
} from '@hollowstack/types';
import {GrantSource} from '@hollowstack/upstream-limits';

/** Milliseconds allowed for the coordinator's reply beyond the maximum wait. */
const REPLY_MARGIN_MS = 80;

/** Requests grants from the coordinator over the peer link. */
export class PeerGrantSource extends GrantSource {
  private readonly link: PeerLink;
  private readonly membership: Membership;

  constructor(link: PeerLink, membership: Membership) {
    super();
    this.link = link;
    this.membership = membership;
  }

  isCoordinator(): boolean {
    return chooseCoordinator(this.membership) === undefined;
  }

  async askCoordinator(
    request: GrantRequest,
    limits: readonly LimitReport[],
  ): Promise<GrantDecision | undefined> {
    const coordinator = chooseCoordinator(this.membership);
    if (!coordinator) return undefined;
    const reply = await this.link
      .sendRequest(
        coordinator.address,
        {type: 'limited-send', ask: request, limits: [...limits]},
        request.maxWaitMs + REPLY_MARGIN_MS,
      )
      .catch((): undefined => undefined);
    return reply?.type === 'limited-send' ? reply.decision : undefined;
  }
}
