import {createHash} from 'node:crypto';
import type {Clock, Timer} from '@hollowstack/clock';
import type {EventLogger, EventName} from '@hollowstack/logger';
import type {RegisteredUpstream} from '@hollowstack/routes';
import {
  ChangeRevisions,
  splitEraRevision,
  type KeyValue,
  type WatchEvent,
} from '@hollowstack/store';
import type {StoreCopy} from '@hollowstack/types';
import {ContentRevision} from './content-revision.ts';
import type {EvacuatedDomains, EvacuationChange} from './evacuated-domains.ts';
import {RemovedEntries} from './removed-entries.ts';
import {EntryReader} from './entry-reader.ts';
import {LeavingIds} from './leaving-ids.ts';
import type {RequestProtocol} from './request-protocol.ts';

/** What an instance goes by when it chooses an upstream, for the log. */
export interface RegistryState {
  /** Store revision of the newest change that is known. */
  readonly storeRevision: number;
  /** Milliseconds since the registrations were last heard of. */
  readonly ageMs: number;
  /** Who told of them then: `watch`, `store` or a peer. */
  readonly source: string;
}

/** Where a change of an upstream was heard of. */
export interface ReportOrigin {
  /** `answer` for one of its own, `watch` or `store` for its registration, or a peer. */
  readonly source: string;
  /** Request whose answer said it; undefined for other sources. */
  readonly requestId?: string;
}

/** Two lives of an upstream under one registered id. */
export interface UpstreamRestart {
  readonly previousId: string;
  readonly newId: string;
  /** When the later one began, in Unix milliseconds; infinite where it tells none. */
  readonly startedAtMs: number;
}

interface Entry {
  readonly text: string;
  /** Whether the registration itself says that the upstream leaves. */
  readonly isRegisteredLeaving: boolean;
  /** As it registered itself, without what its failure domain adds. */
  readonly upstream: RegisteredUpstream;
}

/**
 * Milliseconds after an outage in which registrations that ran out during it
 * may come back; work still goes to their upstreams until then.
 */
const EXPIRY_GRACE_MS = 2200;
/**
 * Milliseconds after which a withheld entry is accepted if the store still has it. Longer
 * than the time in which the entry of an upstream that is gone expires.
 */
const WITHHOLD_MS = 5000;
/**
 * Ids told to a peer of upstreams whose leaving only answers told of; 8 KB of a
 * message. More at once means that the store's word is on its way as well.
 */
const MAX_SELF_REPORTED_IDS = 256;

/** The upstreams as they stand registered in the store, at a store revision. */
export class UpstreamRegistry {
  private readonly logger: EventLogger;
  private readonly entries = new Map<string, Entry>();
  private readonly leavingIds = new LeavingIds();
  private readonly reader: EntryReader;
  private readonly listeners: Array<
    (upstreams: readonly RegisteredUpstream[]) => void
  > = [];
  private readonly clock: Clock;
  private readonly evacuated: Pick<
    EvacuatedDomains,
    'isEvacuated' | 'getEndedAtMs'
  >;
  /** Entries that were not there after an outage, while they may come back. */
  private readonly missing = new Set<string>();
  private graceTimer: Timer | undefined;
  private readonly removedEntries = new RemovedEntries();
  private withheldTimer: Timer | undefined;
  /** When a revision of a later store era was last detected. */
  private restoredAtMs = -Infinity;
  private readonly missingListeners: Array<() => void> = [];
  private readonly leavingReportListeners: Array<() => void> = [];
  private readonly restartListeners: Array<(restart: UpstreamRestart) => void> =
    [];
  private readonly revision = new ContentRevision();
  /** Store revision of the last full read that was not stale. */
  private lastReadRevision = 0;
  private readonly changes = new ChangeRevisions();
  private updatedAtMs = 0;
  private updateSource = '';
  /** The digest of the entries; undefined once they have changed. */
  private digest: string | undefined;

  constructor(
    protocol: RequestProtocol,
    logger: EventLogger,
    clock: Clock,
    evacuated: Pick<EvacuatedDomains, 'isEvacuated' | 'getEndedAtMs'>,
  ) {
    this.reader = new EntryReader(protocol, logger);
    this.logger = logger;
    this.clock = clock;
    this.evacuated = evacuated;
  }

  /** Returns the store revision up to which every change is known. */
  getStoreRevision(): number {
    return this.revision.getComplete();
  }

  /** Notes that changes may have been missed, which the next full read brings. */
  recordMissedChanges(): void {
    this.revision.beginGap();
  }

  /** Returns how old this instance's knowledge is and where it is from. */
  getState(): RegistryState {
    return {
      storeRevision: this.revision.getNewest(),
      ageMs: Math.round(this.clock.getNow() - this.updatedAtMs),
      source: this.updateSource,
    };
  }

  /** Returns whether the registrations have been read, from the store or a peer. */
  isLoaded(): boolean {
    return this.revision.getComplete() > 0;
  }

  listUpstreams(): RegisteredUpstream[] {
    const {evacuated} = this;
    return [...this.entries.values()].map(({upstream}) => ({
      ...upstream,
      isEvacuated: evacuated.isEvacuated(upstream.failureDomain),
      returnedAtMs: evacuated.getEndedAtMs(upstream.failureDomain),
    }));
  }

  addListener(
    listener: (upstreams: readonly RegisteredUpstream[]) => void,
  ): void {
    this.listeners.push(listener);
  }

  /** Tells the listeners that failure domains were evacuated or taken back. */
  applyEvacuations(change: EvacuationChange): void {
    const {source, storeRevision} = change;
    const logDomain = (name: EventName, failureDomain: string) => {
      const upstreams = this.countInDomain(failureDomain);
      const fields = {failureDomain, upstreams, source, storeRevision};
      this.logger.logEvent(name, fields);
    };
    for (const each of change.begun) logDomain('domain.evacuated', each);
    for (const each of change.ended) logDomain('domain.returned', each);
    this.callListeners();
  }

  /** Notes that the store is back after an outage, in which entries may have run out. */
  beginGrace(): void {
    this.graceTimer?.cancel();
    this.graceTimer = this.clock.schedule(EXPIRY_GRACE_MS, () =>
      this.endGrace('grace'),
    );
    this.logger.logEvent('upstream.grace', {
      forMs: EXPIRY_GRACE_MS,
      storeRevision: this.revision.getNewest(),
    });
  }

  /** Adds a function that is called when entries are missing after an outage. */
  addMissingListener(listener: () => void): void {
    this.missingListeners.push(listener);
  }

  /**
   * Notes that an upstream said of itself that it leaves. That holds for this life of
   * it, whatever the store or a peer's copy still says: the store may be away for long
   * after the upstream has begun to leave.
   */
  recordLeaving(id: string, origin: ReportOrigin): void {
    if (this.leavingIds.has(id)) return;
    this.leavingIds.addSelfReported(id, this.clock.getNow());
    const entry = this.findEntry(id);
    if (!entry) return;
    this.entries.set(entry.key, {
      ...entry,
      upstream: {...entry.upstream, isLeaving: true},
    });
    this.logUpstream('upstream.leaving', entry.upstream, origin);
    this.callListeners();
    for (const listener of this.leavingReportListeners) listener();
  }

  /** Adds a function that is called when an upstream has started again under its id. */
  addRestartListener(listener: (restart: UpstreamRestart) => void): void {
    this.restartListeners.push(listener);
  }

  /** Adds a function that is called when an upstream's own word is news. */
  addLeavingReportListener(listener: () => void): void {
    this.leavingReportListeners.push(listener);
  }

  /** Counts the upstreams that leave, by whomever it was told. */
  countLeaving(): number {
    const entries = [...this.entries.values()];
    return entries.filter(({upstream}) => upstream.isLeaving).length;
  }

  /** Lists upstreams that leave by their own word, and not yet by their registration. */
  listSelfReportedLeaving(): string[] {
    const ids = [...this.entries.values()]
      .filter(({isRegisteredLeaving}) => !isRegisteredLeaving)
      .map(({upstream}) => upstream.id)
      .filter(id => this.leavingIds.isSelfReported(id));
    return ids.slice(-MAX_SELF_REPORTED_IDS);
  }

  /** Returns whether entries that are missing may still come back. */
  isInGrace(): boolean {
    return this.graceTimer !== undefined;
  }

  /**
   * Ends the grace of entries that are missing: a peer which never lost the store,
   * or is past its own grace, no longer knows them. An instance that alone was
   * cut off from the store would else send work to an upstream that is gone for
   * longer than changes may take.
   */
  endGraceOfMissing(source: string): void {
    if (this.missing.size === 0) return;
    this.graceTimer?.cancel();
    this.endGrace(source);
  }

  /** Ends the grace, so that nothing is left to keep a process that stops. */
  stop(): void {
    this.graceTimer?.cancel();
    this.graceTimer = undefined;
    this.withheldTimer?.cancel();
    this.withheldTimer = undefined;
  }

  /**
   * Replaces the entries with the result of a full read, removing those it does not
   * list. Keys with a newer watch event are left unchanged.
   */
  replaceEntries(
    keyValues: readonly Pick<KeyValue, 'key' | 'value'>[],
    storeRevision: number,
    source: string,
  ): void {
    if (storeRevision < this.lastReadRevision) return;
    this.recordStoreEra(storeRevision);
    this.revision.recordFullRead(storeRevision);
    this.applyEntries(keyValues, storeRevision, source);
  }

  /**
   * Takes the copy of a peer, which sends none while it is in its own grace.
   *
   * @returns Whether it was taken; an older one than what is known is passed over.
   */
  applyCopy({entries, storeRevision}: StoreCopy, source: string): boolean {
    const knownRevision = Math.max(
      this.getStoreRevision(),
      this.lastReadRevision,
    );
    if (storeRevision < knownRevision) return false;
    this.recordStoreEra(storeRevision);
    this.revision.recordCopy(storeRevision);
    this.applyEntries(entries, storeRevision, source);
    this.endGraceOfMissing(source);
    return true;
  }

  private applyEntries(
    keyValues: readonly Pick<KeyValue, 'key' | 'value'>[],
    storeRevision: number,
    source: string,
  ): void {
    this.lastReadRevision = storeRevision;
    this.recordUpdate(source);
    this.removedEntries.removeAllWithheld();
    const hasNewerChange = (key: string) =>
      this.changes.hasNewerChange(key, storeRevision);
    const listed = new Set(keyValues.map(({key}) => key));
    for (const key of [...this.entries.keys()]) {
      if (!listed.has(key) && !hasNewerChange(key))
        this.removeEntry(key, source);
    }
    const keysBefore = new Set(this.entries.keys());
    for (const {key, value} of keyValues) {
      if (!hasNewerChange(key)) this.setEntry(key, value, source, false);
    }
    this.changes.removeUpTo(storeRevision);
    this.logFullRead(keysBefore, source);
    this.callListeners();
  }

  /** Takes the changes that the watch tells of. */
  applyEvents(events: readonly WatchEvent[]): void {
    this.recordUpdate('watch');
    const readRevision = this.revision.getNewest();
    for (const event of events) {
      // A watch that began before the last whole reading repeats older changes.
      // Those of one transaction share a revision, and all of them count.
      if (event.modRevision <= readRevision) continue;
      this.changes.recordChange(event);
      this.recordStoreEra(event.modRevision);
      this.revision.recordChange(event.modRevision);
      if (event.type === 'delete') this.removeEntry(event.key, 'watch');
      else this.setEntry(event.key, event.value, 'watch');
    }
    this.callListeners();
  }

  /**
   * Returns all entries, for peers that cannot read the store; undefined while
   * some that are not there may come back.
   */
  createCopy(): StoreCopy | undefined {
    if (this.isInGrace()) return undefined;
    const entries = [...this.entries].map(([key, {text}]) => ({
      key,
      value: text,
    }));
    return {storeRevision: this.getStoreRevision(), entries};
  }

  /** Returns a text that is equal where two instances know the same upstreams. */
  getDigest(): string {
    this.digest ??= this.computeDigest();
    return this.digest;
  }

  private computeDigest(): string {
    const text = [...this.entries]
      .filter(([key]) => !this.missing.has(key))
      .map(([, {upstream, isRegisteredLeaving}]) =>
        // What only answers told of is no reason to exchange whole copies.
        isRegisteredLeaving ? `${upstream.id}!` : upstream.id,
      )
      .sort()
      .join(' ');
    return createHash('sha1').update(text).digest('base64');
  }

  // One line for all that a reading brings: a line each was 12,460 of them at the
  // start of 89 instances before 140 upstreams.
  private logFullRead(keysBefore: ReadonlySet<string>, source: string): void {
    const counts = new Map<string, number>();
    for (const [key, {upstream}] of this.entries) {
      if (keysBefore.has(key)) continue;
      const count = counts.get(upstream.service) ?? 0;
      counts.set(upstream.service, count + 1);
    }
    if (counts.size === 0) return;
    const services = [...counts].map(([name, count]) => `${name}:${count}`);
    this.logger.logEvent('upstream.read', {
      upstreams: this.entries.size,
      new: services.join(' '),
      source,
      storeRevision: this.revision.getNewest(),
    });
  }

  private setEntry(
    key: string,
    text: string,
    source: string,
    isSingleChange = true,
  ): void {
    this.digest = undefined;
    const parsed = this.reader.parseEntry(key, text, source);
    if (parsed && this.isOutdated(key, parsed, isSingleChange)) {
      this.removedEntries.addWithheld(key, text);
      this.scheduleAcceptance();
      return;
    }
    this.missing.delete(key);
    this.removedEntries.removeEntry(key);
    if (!parsed) {
      // It names no upstream, whatever it named before; the next one under its key may.
      this.entries.delete(key);
      return;
    }
    // An upstream that was leaving never comes back under the same id.
    const known = this.entries.get(key);
    const isRestart = known !== undefined && known.upstream.id !== parsed.id;
    if (isRestart) this.recordRestart(known.upstream, parsed);
    const isLeaving = parsed.isLeaving || this.leavingIds.has(parsed.id);
    // Nothing that was known of an earlier life holds for this one.
    const before = isRestart ? undefined : known?.upstream;
    // A reading that repeats an entry says nothing new of its warm-up; the age of
    // one that is heard of for the first time is not known, so it counts from now.
    const coldUntilMs =
      known?.text === text
        ? before?.coldUntilMs
        : this.clock.getNow() + (parsed.coldMs ?? 0);
    const upstream = {...parsed, isLeaving, coldUntilMs};
    const isRegisteredLeaving = parsed.isLeaving;
    this.entries.set(key, {text, upstream, isRegisteredLeaving});
    if (isLeaving) this.leavingIds.addRegistered(parsed.id);
    if (before && before.isLeaving === isLeaving) return;
    if (!isLeaving && !isSingleChange && !isRestart) return;
    if (isLeaving) {
      this.logUpstream('upstream.leaving', parsed, {source});
      return;
    }
    const eventName = isRestart ? 'upstream.restarted' : 'upstream.listed';
    this.logUpstream(eventName, parsed, {source});
  }

  // A restored store may hold the entry of an upstream that has since been removed, or of
  // a life earlier than the known one.
  private isOutdated(
    key: string,
    parsed: RegisteredUpstream,
    isSingleChange: boolean,
  ): boolean {
    const sinceRestoreMs = this.clock.getNow() - this.restoredAtMs;
    if (sinceRestoreMs >= WITHHOLD_MS) return false;
    const known = this.entries.get(key)?.upstream;
    const knownStartMs = known?.startedAtMs ?? -Infinity;
    if (known && (parsed.startedAtMs ?? Infinity) < knownStartMs) return true;
    return (
      !known && this.removedEntries.isOutdated(key, parsed, isSingleChange)
    );
  }

  // Entries of upstreams that are gone expire in the meantime, because nothing renews them.
  private scheduleAcceptance(): void {
    this.withheldTimer?.cancel();
    this.withheldTimer = this.clock.schedule(WITHHOLD_MS, () => {
      this.withheldTimer = undefined;
      const withheld = this.removedEntries.removeAllWithheld();
      for (const [key, text] of withheld) {
        this.removedEntries.removeEntry(key);
        this.setEntry(key, text, 'grace');
      }
      if (withheld.length > 0) this.callListeners();
    });
  }

  // The new life may have answered before its registration was heard of here. What it said
  // of itself then was noted of the life that was known.
  private recordRestart(
    before: RegisteredUpstream,
    {id, startedAtMs = Infinity}: RegisteredUpstream,
  ): void {
    const selfReportedAtMs =
      this.leavingIds.getSelfReportedAtMs(before.id) ?? -Infinity;
    if (selfReportedAtMs >= startedAtMs) {
      this.leavingIds.addSelfReported(id, selfReportedAtMs);
      for (const listener of this.leavingReportListeners) listener();
    }
    for (const listener of this.restartListeners) {
      listener({previousId: before.id, newId: id, startedAtMs});
    }
  }

  private removeEntry(key: string, source: string): void {
    this.digest = undefined;
    this.reader.removeEntry(key);
    this.removedEntries.removeWithheld(key);
    const entry = this.entries.get(key);
    if (!entry || this.missing.has(key)) return;
    const mayComeBack =
      this.graceTimer !== undefined && !entry.upstream.isLeaving;
    if (mayComeBack) this.missing.add(key);
    else {
      this.entries.delete(key);
      this.removedEntries.addEntry(key, entry.upstream);
    }
    const {id, service, address} = entry.upstream;
    this.logger.logEvent(mayComeBack ? 'upstream.missing' : 'upstream.gone', {
      upstream: id,
      service,
      address,
      source,
      storeRevision: this.revision.getNewest(),
    });
  }

  private endGrace(source: string): void {
    this.graceTimer = undefined;
    this.digest = undefined;
    const expired = [...this.missing];
    this.missing.clear();
    for (const key of expired) this.removeEntry(key, source);
    if (expired.length > 0) this.callListeners();
  }

  private findEntry(id: string): (Entry & {key: string}) | undefined {
    for (const [key, entry] of this.entries) {
      if (entry.upstream.id === id) return {...entry, key};
    }
    return undefined;
  }

  private logUpstream(
    name: EventName,
    {id, service, address, failureDomain}: RegisteredUpstream,
    origin: ReportOrigin,
  ): void {
    this.logger.logEvent(name, {
      upstream: id,
      service,
      address,
      failureDomain,
      ...origin,
      storeRevision: this.revision.getNewest(),
    });
  }

  private countInDomain(failureDomain: string): number {
    const upstreams = [...this.entries.values()];
    return upstreams.filter(
      ({upstream}) => upstream.failureDomain === failureDomain,
    ).length;
  }

  private recordStoreEra(storeRevision: number): void {
    const isLaterEra =
      splitEraRevision(storeRevision).era >
      splitEraRevision(this.revision.getNewest()).era;
    if (isLaterEra && this.isLoaded()) this.restoredAtMs = this.clock.getNow();
  }

  private recordUpdate(source: string): void {
    this.updatedAtMs = this.clock.getNow();
    this.updateSource = source;
  }

  private callListeners(): void {
    const upstreams = this.listUpstreams();
    for (const listener of this.listeners) listener(upstreams);
    if (this.missing.size === 0) return;
    for (const listener of this.missingListeners) listener();
  }
}
