import type {Clock} from '@hollowstack/clock';
import type {PeerRecord} from '@hollowstack/peers';
import type {RelayMembers} from './relay-members.ts';
import {chooseStoreWatchers} from './store-watchers.ts';

/** Dependencies of RelayRole. */
export interface RelayRoleParts {
  readonly clock: Clock;
  /** Called from the first question on. */
  readonly getMembers: () => RelayMembers;
}

/** Milliseconds between two looks whether this instance is still to watch. */
const CHECK_INTERVAL_MS = 1000;

/** Whether this instance watches the store, by the list of instances. */
export class RelayRole {
  private readonly parts: RelayRoleParts;

  constructor(parts: RelayRoleParts) {
    this.parts = parts;
  }

  /** Returns whether this instance is one of those that watch the store. */
  isWatcher(): boolean {
    const {id} = this.parts.getMembers().getSelf();
    return this.listWatchers().some(watcher => watcher.id === id);
  }

  /** Lists the instances that watch the store, as far as is known here. */
  listWatchers(): readonly PeerRecord[] {
    const members = this.parts.getMembers();
    return members.getCached('store-watchers', () =>
      chooseStoreWatchers([members.getSelf(), ...members.listReachablePeers()]),
    );
  }

  /**
   * Calls `handleEnd` once this instance need not watch the store any more: when
   * the time is over, or where there is none, when others are chosen. A change
   * of the list that is gone at the next look moves nobody.
   *
   * @returns Ends the looks.
   */
  watchForRoleEnd(
    untilMs: number | undefined,
    handleEnd: () => void,
  ): () => void {
    const {clock} = this.parts;
    let wasNeeded = true;
    const check = () => {
      const isNeeded =
        untilMs === undefined ? this.isWatcher() : clock.getNow() < untilMs;
      if (!isNeeded && !wasNeeded) {
        handleEnd();
        return;
      }
      wasNeeded = isNeeded;
      timer = clock.schedule(CHECK_INTERVAL_MS, check);
    };
    let timer = clock.schedule(CHECK_INTERVAL_MS, check);
    return () => timer.cancel();
  }
}
