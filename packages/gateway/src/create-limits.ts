import type {Membership, PeerLink} from '@hollowstack/peers';
import {
  LimitTable,
  SendGranter,
  SendLimiter,
} from '@hollowstack/upstream-limits';
import type {GatewayEnvironment} from './create-gateway.ts';
import {PeerGrantSource} from './peer-grant-source.ts';

/** Components that keep sends within the rate limits of upstreams. */
export interface Limits {
  readonly granter: SendGranter;
  readonly limiter: SendLimiter;
}

/** Creates the limiter, and the granter that is used while this instance coordinates. */
export function createLimits(
  {
    clock,
    logger,
    metrics,
    random,
  }: Pick<GatewayEnvironment, 'clock' | 'logger' | 'metrics' | 'random'>,
  table: LimitTable,
  link: PeerLink,
  membership: Membership,
): Limits {
  const granter = new SendGranter({
    clock,
    random,
    getLimit: id => table.getLimit(id),
  });
  const limiter = new SendLimiter({
    clock,
    logger,
    metrics,
    random,
    table,
    granter,
    source: new PeerGrantSource(link, membership),
    getInstanceCount: () => membership.getLiveCount(),
  });
  metrics.setGauge('hollowstack_upstreams_limited', {}, () =>
    table.countLimited(),
  );
  return {granter, limiter};
}
