import type {PeerRecord} from '@hollowstack/peers';

/** What the relay asks of the list of instances. */
export interface RelayMembers {
  getSelf(): PeerRecord;
  listReachablePeers(): PeerRecord[];
  /** Returns what was computed from the list under a name until the list changes. */
  getCached<T>(name: string, compute: () => T): T;
  /** Notes that a peer does not answer. */
  recordUnreachable(id: string): void;
  /** Reads the list; an outage leaves the last one standing. */
  refresh(): Promise<void>;
}
