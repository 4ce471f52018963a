/** A secret that peers share. */
export interface PeerKey {
  readonly id: string;
  readonly secret: string;
}

/**
 * The keys an instance knows. It dials with the first and takes any, so a key
 * is rotated without a stop: add the new one everywhere, put it first
 * everywhere, then remove the old one.
 */
export class KeyRing {
  private keys: readonly PeerKey[];

  constructor(keys: readonly PeerKey[]) {
    this.keys = keys;
  }

  /** Replaces the keys; streams that are open stay so. */
  setKeys(keys: readonly PeerKey[]): void {
    this.keys = keys;
  }

  /** Returns the key to dial with. */
  getDialKey(): PeerKey {
    return this.keys[0];
  }

  /** Returns the key with an id, or undefined where it is not known. */
  findKey(id: string): PeerKey | undefined {
    return this.keys.find(key => key.id === id);
  }
}
