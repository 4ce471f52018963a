import type {Clock} from '@hollowstack/clock';
import type {PeerRecord} from '@hollowstack/peers';
import type {RelayMembers} from './relay-members.ts';
import {chooseStoreWatchers} from './store-watchers.ts';

/** Dependencies of RelayRole. */
export interface RelayRoleParts {
  readonly clock: Clock;
  /** Returns the member list; called no earlier than the first check of the role. */
  readonly getMembers: () => RelayMembers;
}

/** Milliseconds between two checks whether this instance still has to watch. */
const CHECK_INTERVAL_MS = 1000;

/** Determines from the member list whether this instance watches the store. */
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

  /** Lists the instances that watch the store, as far as this instance knows. */
  listWatchers(): readonly PeerRecord[] {
    const members = this.parts.getMembers();
    return members.getCached('store-watchers', () =>
      chooseStoreWatchers([members.getSelf(), ...members.listReachablePeers()]),
    );
  }

  /**
   * Calls `handleEnd` once this instance no longer has to watch the store: after
   * `untilMs`, or, if it is undefined, when other instances are chosen. Two successive
   * checks must agree, so that a short-lived change of the list moves no watch.
   *
   * @returns A function that stops the checks.
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
