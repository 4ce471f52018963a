import type {Clock} from '@hollowstack/clock';
import type {PeerReply, PeerRequest} from '@hollowstack/peers';
import type {RelayedStore} from './relayed-store.ts';

/** Dependencies of RelayServer. */
export interface RelayServerParts {
  readonly clock: Clock;
  readonly store: RelayedStore;
}

type RelayWatch = Extract<PeerRequest, {type: 'relay-watch'}>;
type RelayRead = Extract<PeerRequest, {type: 'relay-read'}>;
type RelayChanges = Extract<PeerReply, {type: 'relay-changes'}>;

/** Tells peers of the store's changes while this instance watches it. */
export class RelayServer {
  private readonly parts: RelayServerParts;

  constructor(parts: RelayServerParts) {
    this.parts = parts;
  }

  /** Answers as soon as there are changes, and without any once the time is over. */
  async answerWatch(request: RelayWatch): Promise<PeerReply> {
    const {clock, store} = this.parts;
    const endMs = clock.getNow() + request.waitMs;
    for (;;) {
      if (store.getState() !== 'watching') return this.createUnavailable();
      const changes = this.createChanges(request);
      const hasNews = changes.ranges.some(
        ({events, isGap}) => isGap || events.length > 0,
      );
      const leftMs = endMs - clock.getNow();
      if (hasNews || leftMs <= 0) return changes;
      await this.waitForChange(leftMs);
    }
  }

  /** Answers with the content of ranges. */
  answerRead({starts}: RelayRead): PeerReply {
    const {store} = this.parts;
    if (store.getState() !== 'watching') return this.createUnavailable();
    const ranges = starts.flatMap(start => {
      const reading = store.createReading(start);
      if (!reading) return [];
      return [{start, ...reading, keyValues: [...reading.keyValues]}];
    });
    if (ranges.length < starts.length) return this.createUnavailable();
    return {type: 'relay-ranges', ranges};
  }

  private createChanges({ranges}: RelayWatch): RelayChanges {
    const {store} = this.parts;
    return {
      type: 'relay-changes',
      isAfterOutage: store.hasBegunAfterOutage(),
      ranges: ranges.map(({start, sinceRevision}) => {
        const events = store.listChanges(start, sinceRevision);
        return {start, isGap: !events, events: [...(events ?? [])]};
      }),
    };
  }

  private createUnavailable(): PeerReply {
    return {
      type: 'relay-unavailable',
      isAway: this.parts.store.getState() === 'away',
    };
  }

  private waitForChange(limitMs: number): Promise<void> {
    const {clock, store} = this.parts;
    return new Promise(resolve => {
      const finish = () => {
        timer.cancel();
        removeListener();
        resolve();
      };
      const timer = clock.schedule(limitMs, finish);
      const removeListener = store.addChangeListener(finish);
    });
  }
}
