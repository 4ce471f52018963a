import type {Clock} from '@hollowstack/clock';
import type {EventLogger} from '@hollowstack/logger';
import {
  decodeText,
  type PackedText,
  type PeerLink,
  type PeerRecord,
  type PeerReply,
  type PeerRequest,
} from '@hollowstack/peers';
import type {WatchEvent} from '@hollowstack/store';
import type {RangeMirrors} from './range-mirrors.ts';
import type {RelayMembers} from './relay-members.ts';
import {RelaySources} from './relay-sources.ts';
import {listRelaySources} from './store-watchers.ts';

/** Dependencies of RelayClient. */
export interface RelayClientParts {
  readonly clock: Clock;
  readonly logger: EventLogger;
  readonly link: Pick<PeerLink, 'sendRequest'>;
  /** Called from the first question on. */
  readonly getMembers: () => RelayMembers;
  /** Lists the instances that watch the store, as far as is known here. */
  readonly listWatchers: () => readonly PeerRecord[];
  /** Takes what peers send. */
  readonly mirrors: RangeMirrors;
  /** Milliseconds in which a change must be in force here. */
  readonly followWithinMs: number;
}

/** What a source has told. */
export interface RelayNews {
  readonly events: readonly WatchEvent[];
  /** Whether the source's watch began after the store was away, and this is news. */
  readonly isAfterOutage: boolean;
}

/**
 * Part of the time in which a change must be in force for which a peer may hold
 * a question without news: a silent peer and the question to the next one fit in
 * that time.
 */
const POLL_SHARE = 0.2;
/**
 * Part of it beyond which a peer that holds a question counts as silent. Two
 * silent peers and the question to a third take 0.7 of the time.
 */
const SILENCE_MARGIN_SHARE = 0.15;
/** Milliseconds for whole ranges: some hundred round trips, on a thin link. */
const READ_TIMEOUT_MS = 500;
/** Milliseconds for a first answer; a start goes on with the store instead. */
const FIRST_TIMEOUT_MS = 250;
/** Peers asked at a start before the store is read. */
const MAX_FIRST_SOURCES = 2;

/** Asks the instances that watch the store, and remembers which of them failed. */
export class RelayClient {
  private readonly parts: RelayClientParts;
  private readonly sources: RelaySources;

  constructor(parts: RelayClientParts) {
    this.parts = parts;
    this.sources = new RelaySources(parts.clock);
  }

  /** Chooses the peer to ask next; undefined where all have failed lately. */
  chooseSource(): PeerRecord | undefined {
    const {getMembers, listWatchers} = this.parts;
    const self = getMembers().getSelf();
    return this.sources.chooseSource(listRelaySources(self, listWatchers()));
  }

  /**
   * Lets peers that could not reach the store be asked again.
   *
   * @returns Whether there were any.
   */
  removeAway(): boolean {
    return this.sources.removeAway();
  }

  /** Has all ranges from a peer; resolves to whether one had them. */
  async readAll(): Promise<boolean> {
    const starts = this.parts.mirrors.listRanges().map(({start}) => start);
    for (let asked = 0; asked < MAX_FIRST_SOURCES; asked++) {
      const source = this.chooseSource();
      if (!source) return false;
      const events = await this.readRanges(source, starts, FIRST_TIMEOUT_MS);
      if (events) return true;
    }
    return false;
  }

  /** Waits for changes at one peer; undefined where it cannot be used. */
  async askForChanges(source: PeerRecord): Promise<RelayNews | undefined> {
    const {mirrors, followWithinMs} = this.parts;
    const waitMs = followWithinMs * POLL_SHARE;
    const ranges = mirrors.listRanges().map(({start}) => ({
      start,
      sinceRevision: mirrors.findMirror(start)!.getRevision(),
    }));
    const reply = await this.askSource(
      source,
      {type: 'relay-watch', ranges, waitMs, packed: true},
      waitMs + followWithinMs * SILENCE_MARGIN_SHARE,
    );
    if (reply?.type !== 'relay-changes') return undefined;
    const told = mirrors.applyEvents(
      reply.ranges.flatMap(({events}) => decodeValues(events)),
    );
    const missed = reply.ranges
      .filter(({isGap}) => isGap)
      .map(({start}) => start);
    const read = await this.readRanges(source, missed, READ_TIMEOUT_MS);
    if (!read) return undefined;
    return {
      events: [...told, ...read],
      isAfterOutage: missed.length > 0 && reply.isAfterOutage,
    };
  }

  private async readRanges(
    source: PeerRecord,
    starts: readonly string[],
    timeoutMs: number,
  ): Promise<readonly WatchEvent[] | undefined> {
    if (starts.length === 0) return [];
    const reply = await this.askSource(
      source,
      {type: 'relay-read', starts: [...starts], packed: true},
      timeoutMs,
    );
    if (reply?.type !== 'relay-ranges') return undefined;
    return reply.ranges.flatMap(({start, keyValues, ...reading}) =>
      this.parts.mirrors.applyReading(start, {
        ...reading,
        keyValues: decodeValues(keyValues),
      }),
    );
  }

  private async askSource(
    source: PeerRecord,
    request: PeerRequest,
    timeoutMs: number,
  ): Promise<PeerReply | undefined> {
    try {
      const {address} = source;
      const reply = await this.parts.link.sendRequest(
        address,
        request,
        timeoutMs,
      );
      this.recordRefusal(source, reply);
      return reply;
    } catch (error) {
      this.recordSilence(source, error);
      return undefined;
    }
  }

  private recordRefusal({id}: PeerRecord, reply: PeerReply): void {
    if (reply.type === 'relay-unavailable') {
      this.sources.recordFailure(id, reply.isAway ? 'away' : 'not-watching');
    } else if (reply.type === 'failed') {
      this.sources.recordFailure(id, 'not-watching');
    }
  }

  private recordSilence({id, address}: PeerRecord, error: unknown): void {
    const reason = error instanceof Error ? error.message : String(error);
    this.parts.logger.logEvent('relay.source-silent', {
      peer: id,
      address,
      reason,
    });
    this.sources.recordFailure(id, 'silent');
    this.parts.getMembers().recordUnreachable(id);
  }
}

function decodeValues<T extends {readonly value: PackedText}>(
  items: readonly T[],
): Array<Omit<T, 'value'> & {value: string}> {
  return items.map(item => ({...item, value: decodeText(item.value)}));
}
