/** Finds a path from an instance to each upstream: directly, or through a peer. */
export {
  PathConnector,
  type PathConnectorParts,
  type PathOutage,
} from './path-connector.ts';
export {PathProber, type PathProberParts} from './path-prober.ts';
export {PathTable, type PathChoice, type PathTableParts} from './path-table.ts';
export {TunnelClient, type TunnelClientParts} from './tunnel-client.ts';
export {TcpTunnelNetwork, TunnelNetwork} from './tunnel-network.ts';
export {TunnelPeers, type TunnelPeersParts} from './tunnel-peers.ts';
export {
  TunnelServer,
  type TunnelReply,
  type TunnelRequest,
  type TunnelServerParts,
} from './tunnel-server.ts';
