/** The platform's key-value store: abstract interface, HTTP adapter, call budget and watches. */
export {
  KeyValueStore,
  StoreError,
  StoreRefusalError,
  createPrefixRange,
  createSingleKeyRange,
  isInRange,
  type Comparison,
  type KeyRange,
  type KeyValue,
  type Lease,
  type Operation,
  type RangePartHandler,
  type RangeResult,
  type StoreEffect,
  type Transaction,
  type TransactionResult,
  type WatchEvent,
  type WatchTiming,
  type WatchProgress,
} from './key-value-store.ts';
export {PagedReader, type PageReader, type RangePage} from './paged-reader.ts';
export {GatewayStore, type GatewayStoreOptions} from './gateway-store.ts';
export {ChangeRevisions} from './change-revisions.ts';
export {BudgetedStore, type CallBudgetOptions} from './budgeted-store.ts';
export {
  PolledWatch,
  type PolledWatchParts,
  type WatchCall,
  type WatchCallAnswer,
} from './polled-watch.ts';
export {
  WatchHub,
  type WatchBackoff,
  type WatchHubParts,
  type WatchSubscription,
} from './watch-hub.ts';
export {
  INSTANCE_LIST_PREFIX,
  InstanceList,
  getInstanceKey,
} from './instance-list.ts';
export {STORE_IDENTITY_KEY, StoreIdentity} from './store-identity.ts';
export {
  StoreEra,
  joinEraRevision,
  parseEra,
  splitEraRevision,
  type StoreEraParts,
} from './store-era.ts';
