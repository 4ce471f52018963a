import {addAbortHandler} from '@hollowstack/cancellation';
import type {Clock} from '@hollowstack/clock';
import type {EventLogger} from '@hollowstack/logger';
import {
  decodeText,
  type CompressedText,
  type PeerLink,
  type PeerRecord,
  type PeerReply,
  type PeerRequest,
} from '@hollowstack/peers';
import type {WatchEvent, WatchProgress} from '@hollowstack/store';
import type {RangeMirrors} from './range-mirrors.ts';
import type {RelayMembers} from './relay-members.ts';
import {RelaySources} from './relay-sources.ts';
import {listRelaySources} from './store-watchers.ts';

/** Dependencies of RelayClient. */
export interface RelayClientParts {
  readonly clock: Clock;
  readonly logger: EventLogger;
  readonly link: Pick<PeerLink, 'sendRequest'>;
  /** Returns the member list; called no earlier than the first choice of a source. */
  readonly getMembers: () => RelayMembers;
  /** Lists the instances that watch the store, as far as this instance knows. */
  readonly listWatchers: () => readonly PeerRecord[];
  /** Receives the content and changes that peers send. */
  readonly mirrors: RangeMirrors;
  /** Milliseconds within which a change must be in force on this instance. */
  readonly followWithinMs: number;
}

/** What one poll of a source returned. */
export interface RelayUpdate {
  readonly events: readonly WatchEvent[];
  /** Whether all ranges are up to date; false if the full read of one failed. */
  readonly isComplete: boolean;
  /**
   * Whether the source's watch began after an outage of the store and the source did not
   * have all requested changes.
   */
  readonly isAfterOutage: boolean;
  readonly progress: readonly WatchProgress[];
}

/** What a full read of ranges from a peer returned. */
interface RangesUpdate {
  readonly events: readonly WatchEvent[];
  readonly progress: readonly WatchProgress[];
}

/**
 * Fraction of `followWithinMs` for which a peer may hold a poll without changes. A poll of
 * an unresponsive peer and one of the next peer together fit in `followWithinMs`.
 */
const LONG_POLL_FRACTION = 0.2;
/**
 * Fraction of `followWithinMs` after the end of a poll at which the peer counts as
 * unresponsive. Polls of two unresponsive peers take 0.7 of `followWithinMs`; a third peer
 * then replies at once if it has changes.
 */
const TIMEOUT_MARGIN_FRACTION = 0.15;
/** Milliseconds for a full read of ranges; about a hundred round trips, for slow links. */
const READ_TIMEOUT_MS = 500;
/**
 * Milliseconds for a full read from a peer at the start; after that, the next peer or the
 * store is read.
 */
const START_READ_TIMEOUT_MS = 250;
/** Peers asked at the start before the store is read. */
const MAX_START_SOURCES = 2;

/** Polls the instances that watch the store, and remembers which of them failed. */
export class RelayClient {
  private readonly parts: RelayClientParts;
  private readonly sources: RelaySources;
  private isRefreshDue = false;
  private pollAbort = new AbortController();

  constructor(parts: RelayClientParts) {
    this.parts = parts;
    this.sources = new RelaySources(parts.clock);
  }

  /** Chooses the peer to ask next, or undefined if all have failed recently. */
  chooseSource(): PeerRecord | undefined {
    const {getMembers, listWatchers} = this.parts;
    const self = getMembers().getSelf();
    return this.sources.chooseSource(listRelaySources(self, listWatchers()));
  }

  /**
   * Makes peers that could not reach the store eligible again.
   *
   * @returns Whether there were any.
   */
  restoreAwaySources(): boolean {
    return this.sources.restoreAwaySources();
  }

  /** Aborts a poll that waits for changes and asks the next peer to reply at once. */
  refresh(): void {
    this.isRefreshDue = true;
    this.pollAbort.abort();
  }

  /** Reads all ranges from a peer; undefined if no peer provides them. */
  async readAll(): Promise<readonly WatchProgress[] | undefined> {
    const starts = this.parts.mirrors.listRanges().map(({start}) => start);
    for (let asked = 0; asked < MAX_START_SOURCES; asked++) {
      const source = this.chooseSource();
      if (!source) return undefined;
      const read = await this.readRanges(source, starts, START_READ_TIMEOUT_MS);
      if (read) return read.progress;
    }
    return undefined;
  }

  /**
   * Polls one peer for changes; undefined if the poll failed or was aborted. The mirrors hold the
   * events of an update and ask for them no more, so each update has to be passed on.
   */
  async askForChanges(source: PeerRecord): Promise<RelayUpdate | undefined> {
    const {clock, mirrors, followWithinMs} = this.parts;
    const waitMs = this.isRefreshDue ? 0 : followWithinMs * LONG_POLL_FRACTION;
    this.isRefreshDue = false;
    const askedAtMs = clock.getNow();
    this.pollAbort = new AbortController();
    const ranges = mirrors.listRanges().map(({start}) => ({
      start,
      sinceRevision: mirrors.findMirror(start)!.getRevision(),
    }));
    const reply = await Promise.race([
      this.askSource(
        source,
        {type: 'relay-watch', ranges, waitMs, packed: true},
        waitMs + followWithinMs * TIMEOUT_MARGIN_FRACTION,
      ),
      waitForAbort(this.pollAbort.signal),
    ]);
    if (reply?.type !== 'relay-changes') return undefined;
    const newEvents = mirrors.applyEvents(
      reply.ranges.flatMap(({events}) => decodeValues(events)),
    );
    const gapStarts = reply.ranges
      .filter(({isGap}) => isGap)
      .map(({start}) => start);
    const read = await this.readRanges(source, gapStarts, READ_TIMEOUT_MS);
    const rangesWithoutGap = reply.ranges.filter(({isGap}) => !isGap);
    return {
      events: [...newEvents, ...(read?.events ?? [])],
      isComplete: read !== undefined,
      isAfterOutage:
        read !== undefined && gapStarts.length > 0 && reply.isAfterOutage,
      progress: [
        ...listProgress(rangesWithoutGap, askedAtMs),
        ...(read?.progress ?? []),
      ],
    };
  }

  private async readRanges(
    source: PeerRecord,
    starts: readonly string[],
    timeoutMs: number,
  ): Promise<RangesUpdate | undefined> {
    if (starts.length === 0) return {events: [], progress: []};
    const askedAtMs = this.parts.clock.getNow();
    const reply = await this.askSource(
      source,
      {type: 'relay-read', starts: [...starts], packed: true},
      timeoutMs,
    );
    if (reply?.type !== 'relay-ranges') return undefined;
    const events = reply.ranges.flatMap(
      ({start, keyValues, storeId, storeRevision}) =>
        this.parts.mirrors.applyRangeResult(start, {
          storeId,
          storeRevision,
          keyValues: decodeValues(keyValues),
        }),
    );
    return {events, progress: listProgress(reply.ranges, askedAtMs)};
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
      this.recordUnresponsive(source, error);
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

  private recordUnresponsive({id, address}: PeerRecord, error: unknown): void {
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

// The request was sent before it arrived, so the sum is never later than the time up to
// which the peer knows every change.
function listProgress(
  ranges: ReadonlyArray<{start: string; knownUntilOffsetMs?: number}>,
  askedAtMs: number,
): WatchProgress[] {
  return ranges.flatMap(({start, knownUntilOffsetMs}) =>
    knownUntilOffsetMs === undefined
      ? []
      : [{start, knownUntilMs: askedAtMs + knownUntilOffsetMs}],
  );
}

function waitForAbort(signal: AbortSignal): Promise<undefined> {
  return new Promise(resolve => {
    addAbortHandler(signal, () => resolve(undefined));
  });
}

function decodeValues<T extends {readonly value: CompressedText}>(
  items: readonly T[],
): Array<Omit<T, 'value'> & {value: string}> {
  return items.map(item => ({...item, value: decodeText(item.value)}));
}
