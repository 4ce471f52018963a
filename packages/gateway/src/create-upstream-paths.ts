import type {Membership, PeerLink} from '@hollowstack/peers';
import {
  PathConnector,
  PathProber,
  PathTable,
  TunnelClient,
  TunnelPeers,
  TunnelServer,
} from '@hollowstack/upstream-paths';
import type {GatewayEnvironment} from './create-gateway.ts';

/** Components that connect an instance to upstreams, directly or through a peer. */
export interface UpstreamPaths {
  readonly table: PathTable;
  readonly prober: PathProber;
  readonly connector: PathConnector;
  /** Forwards connections of peers. */
  readonly tunnelServer: TunnelServer;
}

/** Dependencies of the paths to upstreams. */
export interface UpstreamPathsParts {
  readonly environment: Pick<
    GatewayEnvironment,
    | 'clock'
    | 'logger'
    | 'metrics'
    | 'random'
    | 'upstreamConnector'
    | 'tunnelNetwork'
  >;
  readonly failureDomain: string;
  readonly link: PeerLink;
  /** Called after the paths are created, so that it may be created later. */
  readonly getMembership: () => Membership;
}

/** Creates the paths to upstreams. */
export function createUpstreamPaths({
  environment,
  failureDomain,
  link,
  getMembership,
}: UpstreamPathsParts): UpstreamPaths {
  const {clock, logger, metrics, random} = environment;
  const {upstreamConnector: direct, tunnelNetwork: network} = environment;
  const table = new PathTable({clock, logger, metrics});
  const prober = new PathProber({clock, random, direct, table});
  const peers = new TunnelPeers({
    clock,
    random,
    failureDomain,
    listPeers: () => getMembership().listReachablePeers(),
  });
  const tunnels = new TunnelClient({clock, link, network, peers});
  return {
    table,
    prober,
    connector: new PathConnector({
      clock,
      direct,
      table,
      prober,
      tunnels,
      peers,
    }),
    tunnelServer: new TunnelServer({
      clock,
      logger,
      metrics,
      network,
      direct,
      table,
      prober,
    }),
  };
}
