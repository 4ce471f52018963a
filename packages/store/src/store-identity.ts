import {HollowstackError} from '@hollowstack/errors';
import {createSingleKeyRange, type KeyValueStore} from './key-value-store.ts';

/** Key that stores the id of the store itself. */
export const STORE_IDENTITY_KEY = 'hollowstack/store-identity';

/**
 * Detects a store that was restored from a backup: it has a new id, but contains
 * the old one under STORE_IDENTITY_KEY. Writes made since the backup are lost,
 * claims among them, so the store is refused until an operator accepts it.
 */
export class StoreIdentity {
  private readonly store: KeyValueStore;
  private verifiedId: string | undefined;

  constructor(store: KeyValueStore) {
    this.store = store;
  }

  /**
   * Checks that a result came from the known store.
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

  /** Accepts a restored store as the known one; an operator decides this. */
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
