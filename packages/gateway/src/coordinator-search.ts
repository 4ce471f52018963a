import {RepeatingTask, type Clock} from '@hollowstack/clock';
import {
  listUnconfirmedCandidates,
  type Membership,
  type PeerLink,
  type PeerRecord,
} from '@hollowstack/peers';

/** Dependencies of CoordinatorSearch. */
export interface CoordinatorSearchParts {
  readonly link: Pick<PeerLink, 'sendRequest' | 'closePeer'> &
    Partial<Pick<PeerLink, 'getSilenceMs'>>;
  readonly membership: Membership;
  readonly clock: Clock;
  readonly random: () => number;
}

/**
 * Time after its start in which an instance asks often, since others that start with it
 * are up within a second or two.
 */
const START_PHASE_MS = 5000;
/** Interval between rounds in the start phase; about forty round trips. */
const START_ROUND_MS = 200;
/** Interval between rounds after the start phase. */
const ROUND_MS = 1000;
/**
 * Share of a round for which a peer that did not answer is not asked again: it is asked
 * in the next round, but not on each change of the member list in between.
 */
const RETRY_DELAY_SHARE = 0.5;
/** Time-out of an answer, which allows for a process that has just started. */
const ASK_TIMEOUT_MS = 400;
/** Maximum number of peers asked in a round; the highest-ranked one that answers is chosen. */
const MAX_ASKED = 3;

/**
 * Pings the peers that would become coordinator if they are alive. The member list may contain
 * instances that have crashed, so no peer becomes coordinator before it has answered. After
 * the loss of all instances this makes the restarted ones agree on a coordinator.
 */
export class CoordinatorSearch {
  private readonly parts: CoordinatorSearchParts;
  private readonly task: RepeatingTask;
  private readonly pendingIds = new Set<string>();
  private startedAtMs = 0;
  private isListKnown = false;

  constructor(parts: CoordinatorSearchParts) {
    this.parts = parts;
    this.task = new RepeatingTask(parts.clock, parts.random, async () => {
      this.askCandidates();
      return this.getRoundMs();
    });
  }

  /** Asks in rounds until `stop` is called. */
  start(): Promise<void> {
    this.startedAtMs = this.parts.clock.getNow();
    this.parts.membership.addListener(() => {
      this.isListKnown = true;
      this.askCandidates();
    });
    return this.task.start();
  }

  /**
   * Returns whether the member list is known and no answer is pending from a peer that
   * would replace the current coordinator.
   */
  isSettled(): boolean {
    return this.isListKnown && this.pendingIds.size === 0;
  }

  stop(): void {
    this.task.stop();
  }

  private askCandidates(): void {
    const candidates = listUnconfirmedCandidates(
      this.parts.membership,
      this.getRoundMs() * RETRY_DELAY_SHARE,
    );
    for (const candidate of candidates.slice(0, MAX_ASKED))
      void this.askCandidate(candidate);
  }

  private async askCandidate(candidate: PeerRecord): Promise<void> {
    const {id, address} = candidate;
    if (this.pendingIds.has(id)) return;
    this.pendingIds.add(id);
    const {link, membership, clock} = this.parts;
    const askedAtMs = clock.getNow();
    const reply = await link
      .sendRequest(address, {type: 'ping'}, ASK_TIMEOUT_MS)
      .catch((): undefined => undefined);
    this.pendingIds.delete(id);
    const silentMs = link.getSilenceMs?.(address) ?? Infinity;
    const isBusy = !reply && silentMs < clock.getNow() - askedAtMs;
    if (reply?.type === 'done' || isBusy) {
      membership.recordContact(candidate);
      return;
    }
    membership.recordUnreachable(id);
    // A connection that cannot be established would delay the next ping as well.
    if (!reply) link.closePeer(address);
  }

  private getRoundMs(): number {
    const passedMs = this.parts.clock.getNow() - this.startedAtMs;
    return passedMs < START_PHASE_MS ? START_ROUND_MS : ROUND_MS;
  }
}
