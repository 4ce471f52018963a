import {RepeatingTask, type Clock} from '@hollowstack/clock';
import type {ConfigurationSnapshot} from '@hollowstack/types';
import type {Membership} from './membership.ts';
import type {PeerRecord, PeerReply} from './messages.ts';
import type {PeerLink} from './peer-link.ts';

/** Dependencies of RevisionGossip. */
export interface RevisionGossipParts {
  readonly link: PeerLink;
  readonly membership: Membership;
  readonly clock: Clock;
  readonly random: () => number;
  /** Addresses to contact while too few peers are reachable. */
  readonly seeds: readonly string[];
  /** Returns the revision in force and the id of the change that created it. */
  readonly getRevision: () => {revision: number; changeId: string};
  /** Called if a peer has a newer revision, to read it from the store. */
  readonly refresh: () => Promise<void>;
  /** Puts a snapshot from a peer in force if it is newer than the revision in force. */
  readonly offerSnapshot: (
    snapshot: ConfigurationSnapshot,
    source: string,
  ) => void;
}

/** Milliseconds between two gossip rounds. */
const ROUND_MS = 1000;
/**
 * Peers contacted in a round; fixed, so that the cost for an instance does not grow
 * with the fleet.
 */
const FAN_OUT = 3;
/** Milliseconds for a peer's reply, including a snapshot over a slow link. */
const TIMEOUT_MS = 1500;

/**
 * Announces the revision in force to a few peers each second, and obtains newer
 * revisions from the store or from these peers.
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

  /** Runs gossip rounds until stopped. */
  start(): Promise<void> {
    return this.task.start();
  }

  stop(): void {
    this.task.stop();
  }

  /** Contacts a few peers once; the daemon does so before it reports ready. */
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
    // With few reachable peers, the list may be left over from an outage or restored
    // from a backup: the configured seeds and the peers that did not answer fill up
    // the round.
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

  // The store comes first, since it is authoritative; the peer's copy is used if the
  // store is down or behind.
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

/** Chooses random peers, from as many failure domains as possible. */
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
