import {HollowstackError} from '@hollowstack/errors';
import {createSingleKeyRange, type KeyValueStore} from './key-value-store.ts';

/** Key under which the store's own id is kept. */
export const STORE_IDENTITY_KEY = 'hollowstack/store-identity';

/**
 * Knows whether the store is the one that writes went to. A store that was
 * restored from a backup has a new id, but holds the old one under our key:
 * what was written since the backup is lost, claims among it, until an
 * operator says that this is acceptable.
 */
export class StoreIdentity {
  private readonly store: KeyValueStore;
  private verifiedId: string | undefined;

  constructor(store: KeyValueStore) {
    this.store = store;
  }

  /**
   * Checks that a result came from the store that is known.
   *
   * @param storeId Id of the store that answered.
   * @throws HollowstackError `store-restored`, or StoreError.
   */
  async checkStore(storeId: string): Promise<void> {
    if (storeId === this.verifiedId) return;
    const storedId = await this.readStoredId(storeId);
    if (storedId !== storeId) {
      throw new HollowstackError(
        'store-restored',
        `the store was restored from a backup of store ${storedId}`,
      );
    }
    this.verifiedId = storeId;
  }

  /** Takes the present store for the known one; an operator's decision. */
  async acceptStore(storeId: string): Promise<void> {
    await this.store.runTransaction({
      comparisons: [],
      onSuccess: [{type: 'put', key: STORE_IDENTITY_KEY, value: storeId}],
    });
    this.verifiedId = storeId;
  }

  private async readStoredId(storeId: string): Promise<string> {
    const result = await this.store.runTransaction({
      comparisons: [{key: STORE_IDENTITY_KEY, modRevision: 0}],
      onSuccess: [{type: 'put', key: STORE_IDENTITY_KEY, value: storeId}],
      onFailure: [
        {type: 'read', range: createSingleKeyRange(STORE_IDENTITY_KEY)},
      ],
    });
    if (result.succeeded) return storeId;
    return result.reads.at(0)?.keyValues.at(0)?.value ?? '';
  }
}
