import type {EventLogger} from '@hollowstack/logger';
import type {RegisteredUpstream} from '@hollowstack/routes';
import type {KeyValue, WatchEvent} from '@hollowstack/store';
import type {StoreCopy} from '@hollowstack/types';
import type {RequestProtocol} from './request-protocol.ts';

interface Entry {
  readonly text: string;
  readonly upstream: RegisteredUpstream;
}

/** Ids kept of upstreams that were seen leaving. */
const MAX_LEFT_IDS = 10_000;

/** The upstreams as they stand registered in the store, at a store revision. */
export class UpstreamRegistry {
  private readonly protocol: RequestProtocol;
  private readonly logger: EventLogger;
  private readonly entries = new Map<string, Entry>();
  private readonly leftIds = new Set<string>();
  private readonly listeners: Array<
    (upstreams: readonly RegisteredUpstream[]) => void
  > = [];
  private storeRevision = 0;

  constructor(protocol: RequestProtocol, logger: EventLogger) {
    this.protocol = protocol;
    this.logger = logger;
  }

  getStoreRevision(): number {
    return this.storeRevision;
  }

  listUpstreams(): RegisteredUpstream[] {
    return [...this.entries.values()].map(({upstream}) => upstream);
  }

  addListener(
    listener: (upstreams: readonly RegisteredUpstream[]) => void,
  ): void {
    this.listeners.push(listener);
  }

  /** Takes a whole reading; what it does not name is gone. */
  replaceEntries(
    keyValues: readonly Pick<KeyValue, 'key' | 'value'>[],
    storeRevision: number,
    source: string,
  ): void {
    if (storeRevision < this.storeRevision) return;
    this.storeRevision = storeRevision;
    const listed = new Set(keyValues.map(({key}) => key));
    for (const key of [...this.entries.keys()]) {
      if (!listed.has(key)) this.removeEntry(key, source);
    }
    for (const {key, value} of keyValues) this.setEntry(key, value, source);
    this.callListeners();
  }

  /** Takes the changes that the watch tells of. */
  applyEvents(events: readonly WatchEvent[]): void {
    for (const event of events) {
      // A watch that began before the last whole reading repeats older changes.
      if (event.modRevision <= this.storeRevision) continue;
      this.storeRevision = event.modRevision;
      if (event.type === 'delete') this.removeEntry(event.key, 'watch');
      else this.setEntry(event.key, event.value, 'watch');
    }
    this.callListeners();
  }

  /** Returns all entries, for peers that cannot read the store. */
  createCopy(): StoreCopy {
    const entries = [...this.entries].map(([key, {text}]) => ({
      key,
      value: text,
    }));
    return {storeRevision: this.storeRevision, entries};
  }

  /** Returns a text that is equal where two instances know the same upstreams. */
  computeDigest(): string {
    return this.listUpstreams()
      .map(({id, isLeaving}) => (isLeaving ? `${id}!` : id))
      .sort()
      .join(' ');
  }

  private setEntry(key: string, text: string, source: string): void {
    const parsed = this.protocol.parseUpstream(key, text);
    if (!parsed) return;
    // An upstream that was leaving never comes back under the same id.
    const isLeaving = parsed.isLeaving || this.leftIds.has(parsed.id);
    const before = this.entries.get(key)?.upstream;
    this.entries.set(key, {text, upstream: {...parsed, isLeaving}});
    if (isLeaving) this.recordLeft(parsed.id);
    if (before && before.isLeaving === isLeaving) return;
    this.logger.logEvent(isLeaving ? 'upstream.leaving' : 'upstream.listed', {
      upstream: parsed.id,
      service: parsed.service,
      address: parsed.address,
      zone: parsed.zone,
      source,
      storeRevision: this.storeRevision,
    });
  }

  private removeEntry(key: string, source: string): void {
    const entry = this.entries.get(key);
    if (!entry) return;
    this.entries.delete(key);
    const {id, service, address} = entry.upstream;
    this.logger.logEvent('upstream.gone', {
      upstream: id,
      service,
      address,
      source,
      storeRevision: this.storeRevision,
    });
  }

  private recordLeft(id: string): void {
    this.leftIds.add(id);
    if (this.leftIds.size <= MAX_LEFT_IDS) return;
    const [oldest] = this.leftIds;
    this.leftIds.delete(oldest);
  }

  private callListeners(): void {
    const upstreams = this.listUpstreams();
    for (const listener of this.listeners) listener(upstreams);
  }
}
