import {RepeatingTask, type Clock} from '@hollowstack/clock';
import type {ConfigurationSnapshot} from '@hollowstack/types';
import type {Membership} from './membership.ts';
import type {PeerRecord, PeerReply} from './messages.ts';
import type {PeerLink} from './peer-link.ts';

/** What the exchange works with. */
export interface RevisionGossipParts {
  readonly link: PeerLink;
  readonly membership: Membership;
  readonly clock: Clock;
  readonly random: () => number;
  /** Addresses to ask where no peer is known yet. */
  readonly seeds: readonly string[];
  /** Returns the revision in force and the change that made it. */
  readonly getRevision: () => {revision: number; changeId: string};
  /** Called where a peer has a newer revision, to read it from the service. */
  readonly refresh: () => Promise<void>;
  readonly offerSnapshot: (
    snapshot: ConfigurationSnapshot,
    source: string,
  ) => void;
}

/** Milliseconds between two rounds. */
const ROUND_MS = 1000;
/**
 * Peers asked in a round: the cost of an instance does not grow with the
 * fleet.
 */
const FAN_OUT = 3;
/** Milliseconds for a peer's answer, a snapshot on a thin link included. */
const TIMEOUT_MS = 1500;

/**
 * Tells a few peers a second which revision is in force, and learns of newer
 * ones.
 */
export class RevisionGossip {
  private readonly parts: RevisionGossipParts;
  private readonly task: RepeatingTask;

  constructor(parts: RevisionGossipParts) {
    this.parts = parts;
    this.task = new RepeatingTask(parts.clock, parts.random, async () => {
      await this.runRound();
      return ROUND_MS;
    });
  }

  /** Exchanges until stopped. */
  start(): Promise<void> {
    return this.task.start();
  }

  stop(): void {
    this.task.stop();
  }

  /** Asks a few peers once; the daemon does so before it is ready. */
  async runRound(): Promise<void> {
    const addresses = this.chooseAddresses();
    await Promise.all(addresses.map(address => this.exchangeWith(address)));
  }

  private chooseAddresses(): string[] {
    const {membership, seeds, random} = this.parts;
    const peers = membership.listReachablePeers();
    const chosen = choosePeersAcrossDomains(peers, FAN_OUT, random).map(
      ({address}) => address,
    );
    // With few peers at hand the list may be an outage's or a backup's: the
    // seeds of the settings and those that did not answer get their turn.
    const others = [...seeds, ...membership.listPeers().map(getAddress)];
    const rest = others.filter(address => !chosen.includes(address));
    const start = Math.floor(random() * Math.max(1, rest.length));
    const rotated = [...rest.slice(start), ...rest.slice(0, start)];
    return [...new Set([...chosen, ...rotated])].slice(0, FAN_OUT);
  }

  private async exchangeWith(address: string): Promise<void> {
    const {link, membership, getRevision} = this.parts;
    const reply = await link
      .sendRequest(
        address,
        {type: 'digest', self: membership.getSelf(), ...getRevision()},
        TIMEOUT_MS,
      )
      .catch((): undefined => undefined);
    if (reply?.type !== 'digest') {
      this.recordUnreachable(address);
      return;
    }
    if (reply.revision > getRevision().revision)
      await this.readNewerRevision(address);
    if (membership.listPeers().length === 0) await this.readMembers(address);
  }

  // The service comes first, since it holds the truth; the peer's copy serves
  // where the service is down or behind.
  private async readNewerRevision(address: string): Promise<void> {
    const {link, refresh, getRevision, offerSnapshot} = this.parts;
    const before = getRevision().revision;
    await refresh();
    if (getRevision().revision > before) return;
    const reply = await link
      .sendRequest(address, {type: 'snapshot'}, TIMEOUT_MS)
      .catch((): undefined => undefined);
    if (reply?.type !== 'snapshot' || !reply.snapshot) return;
    offerSnapshot(reply.snapshot, `peer ${address}`);
  }

  private async readMembers(address: string): Promise<void> {
    const {link, membership} = this.parts;
    const reply: PeerReply | undefined = await link
      .sendRequest(address, {type: 'members'}, TIMEOUT_MS)
      .catch((): undefined => undefined);
    if (reply?.type !== 'members') return;
    for (const member of reply.members) membership.recordContact(member);
  }

  private recordUnreachable(address: string): void {
    const {membership} = this.parts;
    const peer = membership
      .listPeers()
      .find(candidate => candidate.address === address);
    if (peer) membership.recordUnreachable(peer.id);
  }
}

function getAddress({address}: PeerRecord): string {
  return address;
}

/** Chooses peers at random, each failure domain in its turn. */
export function choosePeersAcrossDomains(
  peers: readonly PeerRecord[],
  count: number,
  random: () => number,
): PeerRecord[] {
  const shuffled = peers
    .map(peer => ({peer, draw: random()}))
    .sort((left, right) => left.draw - right.draw)
    .map(({peer}) => peer);
  const chosen: PeerRecord[] = [];
  const usedDomains = new Set<string>();
  for (const peer of shuffled) {
    if (chosen.length === count) return chosen;
    if (usedDomains.has(peer.failureDomain)) continue;
    usedDomains.add(peer.failureDomain);
    chosen.push(peer);
  }
  const rest = shuffled.filter(peer => !chosen.includes(peer));
  return [...chosen, ...rest].slice(0, count);
}
