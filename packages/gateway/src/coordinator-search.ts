import {RepeatingTask, type Clock} from '@hollowstack/clock';
import {
  listUnconfirmedCandidates,
  type Membership,
  type PeerLink,
  type PeerRecord,
} from '@hollowstack/peers';

/** Dependencies of CoordinatorSearch. */
export interface CoordinatorSearchParts {
  readonly link: Pick<PeerLink, 'sendRequest' | 'closePeer'>;
  readonly membership: Membership;
  readonly clock: Clock;
  readonly random: () => number;
}

/**
 * Milliseconds for which an instance that has just started asks often: others
 * that started with it are up within a second or two.
 */
const START_PHASE_MS = 5000;
/** Milliseconds between rounds in that time; some forty round trips. */
const START_ROUND_MS = 200;
/** Milliseconds between rounds afterwards. */
const ROUND_MS = 1000;
/**
 * Share of a round for which a peer that did not answer is left alone: it is
 * asked in the next round, and not by each change of the list in between.
 */
const RETRY_DELAY_SHARE = 0.5;
/** Milliseconds for an answer; room for a process that has just started. */
const ASK_TIMEOUT_MS = 400;
/** Peers asked in a round; the first by rank of them that answers decides. */
const MAX_ASKED = 3;

/**
 * Asks the peers that would coordinate, if they live, whether they do. A list of
 * instances outlives them, so that nobody is taken for the coordinator before
 * it gave a sign of life; after the loss of all instances this is what makes
 * them agree again.
 */
export class CoordinatorSearch {
  private readonly parts: CoordinatorSearchParts;
  private readonly task: RepeatingTask;
  private readonly askedIds = new Set<string>();
  private startedAtMs = 0;
  private isListKnown = false;

  constructor(parts: CoordinatorSearchParts) {
    this.parts = parts;
    this.task = new RepeatingTask(parts.clock, parts.random, async () => {
      this.askCandidates();
      return this.getRoundMs();
    });
  }

  /** Asks in rounds until stopped. */
  start(): Promise<void> {
    this.startedAtMs = this.parts.clock.getNow();
    this.parts.membership.addListener(() => {
      this.isListKnown = true;
      this.askCandidates();
    });
    return this.task.start();
  }

  /**
   * Returns whether the list of instances is known and nobody on it is being asked
   * who would coordinate in place of the one that is chosen now.
   */
  isSettled(): boolean {
    return this.isListKnown && this.askedIds.size === 0;
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
    if (this.askedIds.has(id)) return;
    this.askedIds.add(id);
    const {link, membership} = this.parts;
    const reply = await link
      .sendRequest(address, {type: 'ping'}, ASK_TIMEOUT_MS)
      .catch((): undefined => undefined);
    this.askedIds.delete(id);
    if (reply?.type === 'done') {
      membership.recordContact(candidate);
      return;
    }
    membership.recordUnreachable(id);
    // A connection that does not stand would hold up the next question as well.
    if (!reply) link.closePeer(address);
  }

  private getRoundMs(): number {
    const passedMs = this.parts.clock.getNow() - this.startedAtMs;
    return passedMs < START_PHASE_MS ? START_ROUND_MS : ROUND_MS;
  }
}
