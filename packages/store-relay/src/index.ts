/** Relays changes of the store: a few instances watch it and pass changes on to the others. */
export {RangeMirror} from './range-mirror.ts';
export type {RelayMembers} from './relay-members.ts';
export {RelayServer, type RelayServerParts} from './relay-server.ts';
export {
  RelayedStore,
  type RelayState,
  type RelayedStoreParts,
} from './relayed-store.ts';
export {chooseStoreWatchers, listRelaySources} from './store-watchers.ts';
