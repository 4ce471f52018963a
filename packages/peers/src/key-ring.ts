/** A shared secret by which peers authenticate each other. */
export interface PeerKey {
  readonly id: string;
  readonly secret: string;
}

/**
 * The keys that an instance accepts; it opens streams with the first one. To rotate
 * a key without downtime, add the new one on all instances, move it to the front on
 * all of them, then remove the old one.
 */
export class KeyRing {
  private keys: readonly PeerKey[];

  constructor(keys: readonly PeerKey[]) {
    this.keys = keys;
  }

  /** Replaces the keys; open streams stay open. */
  setKeys(keys: readonly PeerKey[]): void {
    this.keys = keys;
  }

  /** Returns the key with which this instance opens streams. */
  getDialKey(): PeerKey {
    return this.keys[0];
  }

  /** Returns the key with an id, or undefined if there is none. */
  findKey(id: string): PeerKey | undefined {
    return this.keys.find(key => key.id === id);
  }
}
