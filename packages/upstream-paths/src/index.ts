/** Finds a path from an instance to each upstream: directly, or through a peer. */
export {PathConnector, type PathConnectorParts} from './path-connector.ts';
export {PathTable, type PathTableParts} from './path-table.ts';
