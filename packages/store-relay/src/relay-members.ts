import type {PeerRecord} from '@hollowstack/peers';

/** The part of Membership that the relay uses. */
export interface RelayMembers {
  getSelf(): PeerRecord;
  listReachablePeers(): PeerRecord[];
  /** Returns a value computed from the list, cached under a name until the list changes. */
  getCached<T>(name: string, compute: () => T): T;
  /** Records that a peer does not answer. */
  recordUnreachable(id: string): void;
  /** Reads the list from the store; keeps the previous one if the read fails. */
  refresh(): Promise<void>;
}
