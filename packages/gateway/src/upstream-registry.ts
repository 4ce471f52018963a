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

/** Age and origin of the registrations that an instance routes by, for the log. */
export interface RegistryState {
  /** Store revision of the newest known change. */
  readonly storeRevision: number;
  /** Milliseconds since the last update of the registrations. */
  readonly ageMs: number;
  /** Origin of that update: `watch`, `store` or a peer. */
  readonly source: string;
}

/** Where the report of a change of an upstream came from. */
export interface ReportOrigin {
  /** `answer` of the upstream itself, `watch` or `store` for its registration, or a peer. */
  readonly source: string;
  /** Request whose answer carried the report; undefined for other sources. */
  readonly requestId?: string;
}

/** A new incarnation of an upstream under the same registry key. */
export interface UpstreamRestart {
  readonly previousId: string;
  readonly newId: string;
  /** Start of the new incarnation in Unix milliseconds; infinite if its entry has none. */
  readonly startedAtMs: number;
}

interface Entry {
  readonly text: string;
  /** Whether the registration itself marks the upstream as leaving. */
  readonly isRegisteredLeaving: boolean;
  /** The upstream without the evacuation state of its failure domain. */
  readonly upstream: RegisteredUpstream;
}

/**
 * Grace period after a store outage, in which registrations that expired during
 * the outage may be renewed. Their upstreams still get work until it ends.
 */
const EXPIRY_GRACE_MS = 2200;
/**
 * Time for which outdated entries are withheld after a restored store was detected, and
 * time after which a withheld entry is accepted if the store still has it. Longer than the
 * time in which the entry of a stopped upstream expires.
 */
const WITHHOLD_MS = 5000;
/**
 * Maximum number of leaving upstreams in a message to a peer, about 8 KB. If more leave at
 * once, the store's watch reports the others.
 */
const MAX_UNREGISTERED_IDS = 256;

/** The upstreams registered in the store, at a store revision. */
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
  /** Keys that the store lacked after an outage, until the grace period ends. */
  private readonly missing = new Set<string>();
  private graceTimer: Timer | undefined;
  private readonly removedEntries = new RemovedEntries();
  private withheldTimer: Timer | undefined;
  /** When a later store era, which begins with a restored store, was last detected. */
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
  /** Cached digest of the entries; undefined after a change. */
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

  /** Returns the store revision up to which every change is known; 0 before a full read. */
  getStoreRevision(): number {
    return this.revision.getComplete();
  }

  /** Records that changes may have been missed, until the next full read. */
  recordMissedChanges(): void {
    this.revision.beginGap();
  }

  /** Returns the age and origin of the registrations. */
  getState(): RegistryState {
    return {
      storeRevision: this.revision.getNewest(),
      ageMs: Math.round(this.clock.getNow() - this.updatedAtMs),
      source: this.updateSource,
    };
  }

  /** Returns whether all registrations have been received, from the store or a peer. */
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

  /** Logs evacuations of failure domains and their ends, and notifies the listeners. */
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

  /** Begins the grace period after a store outage, in which entries may have expired. */
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

  /** Adds a function that is called on each change while entries are missing after an outage. */
  addMissingListener(listener: () => void): void {
    this.missingListeners.push(listener);
  }

  /**
   * Records that an upstream itself reported that it leaves. This holds for its current
   * incarnation and overrides the store and copies of peers, because the store may be
   * unavailable long after the upstream has begun to leave.
   */
  recordLeaving(id: string, origin: ReportOrigin): void {
    if (this.leavingIds.has(id)) return;
    this.leavingIds.addSelfReported(id, this.clock.getNow());
    this.setLeaving(id, origin);
  }

  /**
   * Applies the part of a full read that has arrived. Registered upstreams that it lists as
   * leaving get no more work; everything else waits for the whole read.
   */
  applyPartialRead(
    keyValues: readonly Pick<KeyValue, 'key' | 'value'>[],
    source: string,
  ): void {
    for (const {key, value} of keyValues) {
      const known = this.entries.get(key);
      if (!known || known.text === value) continue;
      const parsed = this.reader.parseEntry(key, value, source);
      if (!parsed?.isLeaving || this.leavingIds.has(parsed.id)) continue;
      this.leavingIds.addRegistered(parsed.id);
      this.setLeaving(parsed.id, {source});
    }
  }

  private setLeaving(id: string, origin: ReportOrigin): void {
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

  /** Adds a function that is called when an upstream has restarted under its registry key. */
  addRestartListener(listener: (restart: UpstreamRestart) => void): void {
    this.restartListeners.push(listener);
  }

  /**
   * Adds a function that is called when an upstream is first known to leave otherwise than by
   * its whole registration.
   */
  addLeavingReportListener(listener: () => void): void {
    this.leavingReportListeners.push(listener);
  }

  /** Counts the leaving upstreams, registered or self-reported. */
  countLeaving(): number {
    const entries = [...this.entries.values()];
    return entries.filter(({upstream}) => upstream.isLeaving).length;
  }

  /** Lists the ids of upstreams that leave although their registration here does not say so. */
  listUnregisteredLeaving(): string[] {
    const ids = [...this.entries.values()]
      .filter(({isRegisteredLeaving}) => !isRegisteredLeaving)
      .map(({upstream}) => upstream.id)
      .filter(id => this.leavingIds.has(id));
    return ids.slice(-MAX_UNREGISTERED_IDS);
  }

  /** Returns whether the grace period after a store outage is running. */
  isInGrace(): boolean {
    return this.graceTimer !== undefined;
  }

  /**
   * Ends the grace period if entries are missing, because a peer that never lost the
   * store, or is past its own grace period, no longer has them. Otherwise an instance
   * that was the only one cut off from the store would send work to a stopped upstream after
   * its removal must be in force.
   */
  endGraceOfMissing(source: string): void {
    if (this.missing.size === 0) return;
    this.graceTimer?.cancel();
    this.endGrace(source);
  }

  /** Cancels the timers, which would otherwise keep a stopping process alive. */
  stop(): void {
    this.graceTimer?.cancel();
    this.graceTimer = undefined;
    this.withheldTimer?.cancel();
    this.withheldTimer = undefined;
  }

  /**
   * Replaces the entries with the result of a full read and removes those it does not
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
   * Applies a peer's copy of the registrations. A peer sends none during its own grace
   * period.
   *
   * @returns False if the copy is older than the known registrations and was ignored.
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

  /** Applies changes that the watch reports. */
  applyEvents(events: readonly WatchEvent[]): void {
    this.recordUpdate('watch');
    const revisionBefore = this.revision.getNewest();
    for (const event of events) {
      // A watch that began before the last full read repeats older changes. Changes of
      // one transaction share a revision, so the bound is fixed before the loop.
      if (event.modRevision <= revisionBefore) continue;
      this.changes.recordChange(event);
      this.recordStoreEra(event.modRevision);
      this.revision.recordChange(event.modRevision);
      if (event.type === 'delete') this.removeEntry(event.key, 'watch');
      else this.setEntry(event.key, event.value, 'watch');
    }
    this.callListeners();
  }

  /**
   * Returns all entries, for peers that cannot read the store; undefined during the grace
   * period, in which missing entries may be renewed.
   */
  createCopy(): StoreCopy | undefined {
    if (this.isInGrace()) return undefined;
    const entries = [...this.entries].map(([key, {text}]) => ({
      key,
      value: text,
    }));
    return {storeRevision: this.getStoreRevision(), entries};
  }

  /** Returns a digest that is equal on instances with the same registrations. */
  getDigest(): string {
    this.digest ??= this.computeDigest();
    return this.digest;
  }

  private computeDigest(): string {
    const text = [...this.entries]
      .filter(([key]) => !this.missing.has(key))
      .map(([, {upstream, isRegisteredLeaving}]) =>
        // Self-reported leaving is excluded: it is no reason to exchange whole copies.
        isRegisteredLeaving ? `${upstream.id}!` : upstream.id,
      )
      .sort()
      .join(' ');
    return createHash('sha1').update(text).digest('base64');
  }

  // Logs one line for all new entries of a full read: a line per entry at each instance would
  // grow with the product of the two.
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
      // An unreadable entry replaces the upstream it named before.
      this.entries.delete(key);
      return;
    }
    // An upstream that was leaving never takes work again under the same id.
    const known = this.entries.get(key);
    const isRestart = known !== undefined && known.upstream.id !== parsed.id;
    if (isRestart) this.recordRestart(known.upstream, parsed);
    const isLeaving = parsed.isLeaving || this.leavingIds.has(parsed.id);
    // The state of an earlier incarnation does not hold for this one.
    const before = isRestart ? undefined : known?.upstream;
    // An unchanged entry keeps its warm-up end. The age of a new or changed entry is
    // unknown, so its warm-up counts from now.
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
  // an incarnation earlier than the known one.
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

  // Entries of stopped upstreams expire in the meantime, because nothing renews them.
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

  // The new incarnation may have reported that it leaves before its registration arrived
  // here. That report was recorded under the id of the previous incarnation.
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
