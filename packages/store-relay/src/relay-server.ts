import type {Clock} from '@hollowstack/clock';
import {
  TextCompressor,
  type CompressedText,
  type PeerReply,
  type PeerRequest,
} from '@hollowstack/peers';
import type {RelayedStore} from './relayed-store.ts';

/** Dependencies of RelayServer. */
export interface RelayServerParts {
  readonly clock: Clock;
  readonly store: RelayedStore;
}

type RelayWatch = Extract<PeerRequest, {type: 'relay-watch'}>;
type RelayRead = Extract<PeerRequest, {type: 'relay-read'}>;
type RelayChanges = Extract<PeerReply, {type: 'relay-changes'}>;

/** Serves the store's changes to peers while this instance watches the store. */
export class RelayServer {
  private readonly parts: RelayServerParts;
  private readonly compressor = new TextCompressor();

  constructor(parts: RelayServerParts) {
    this.parts = parts;
  }

  /** Replies as soon as there are changes, or without any after the requested time. */
  async answerWatch(request: RelayWatch): Promise<PeerReply> {
    const {clock, store} = this.parts;
    const arrivedAtMs = clock.getNow();
    const endMs = arrivedAtMs + request.waitMs;
    for (;;) {
      if (store.getState() !== 'watching') return this.createUnavailableReply();
      const changes = this.createChangesReply(request, arrivedAtMs);
      const hasChanges = changes.ranges.some(
        ({events, isGap}) => isGap || events.length > 0,
      );
      const remainingMs = endMs - clock.getNow();
      if (hasChanges || remainingMs <= 0) return changes;
      await this.waitForChange(remainingMs);
    }
  }

  /** Replies with the content of ranges, or as unavailable if any of them is not known. */
  answerRead({starts, packed}: RelayRead): PeerReply {
    const {clock, store} = this.parts;
    if (store.getState() !== 'watching') return this.createUnavailableReply();
    const nowMs = clock.getNow();
    const ranges = starts.flatMap(start => {
      const result = store.createRangeResult(start);
      if (!result) return [];
      const keyValues = this.encodeValues(result.keyValues, packed);
      const knownUntilOffsetMs = this.computeOffsetMs(start, nowMs);
      return [{start, ...result, keyValues, knownUntilOffsetMs}];
    });
    if (ranges.length < starts.length) return this.createUnavailableReply();
    return {type: 'relay-ranges', ranges};
  }

  private createChangesReply(
    {ranges, packed}: RelayWatch,
    arrivedAtMs: number,
  ): RelayChanges {
    const {store} = this.parts;
    return {
      type: 'relay-changes',
      isAfterOutage: store.hasBegunAfterOutage(),
      ranges: ranges.map(({start, sinceRevision}) => {
        const events = store.listChanges(start, sinceRevision);
        return {
          start,
          isGap: !events,
          events: this.encodeValues(events ?? [], packed),
          knownUntilOffsetMs: this.computeOffsetMs(start, arrivedAtMs),
        };
      }),
    };
  }

  private computeOffsetMs(
    start: string,
    arrivedAtMs: number,
  ): number | undefined {
    const knownUntilMs = this.parts.store.getKnownUntilMs(start);
    if (knownUntilMs === undefined) return undefined;
    return Math.floor(knownUntilMs - arrivedAtMs);
  }

  private encodeValues<T extends {readonly value: string}>(
    items: readonly T[],
    isCompressionSupported: boolean,
  ): Array<Omit<T, 'value'> & {value: CompressedText}> {
    return items.map(item => ({
      ...item,
      value: this.compressor.encodeText(item.value, isCompressionSupported),
    }));
  }

  private createUnavailableReply(): PeerReply {
    return {
      type: 'relay-unavailable',
      isAway: this.parts.store.getState() === 'away',
    };
  }

  private waitForChange(timeoutMs: number): Promise<void> {
    const {clock, store} = this.parts;
    return new Promise(resolve => {
      const finish = () => {
        timer.cancel();
        removeListener();
        resolve();
      };
      const timer = clock.schedule(timeoutMs, finish);
      const removeListener = store.addChangeListener(finish);
    });
  }
}
