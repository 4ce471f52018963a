import type {Clock, Timer} from '@hollowstack/clock';
import type {EventLogger} from '@hollowstack/logger';
import type {EvacuationState} from '@hollowstack/peers';
import type {KeyValue, WatchEvent} from '@hollowstack/store';
import {ContentRevision} from './content-revision.ts';
import type {RequestProtocol} from './request-protocol.ts';

/** How the evacuated failure domains changed. */
export interface EvacuationChange {
  readonly begun: readonly string[];
  readonly ended: readonly string[];
  /** Origin of the change: `watch`, `store`, a peer, or `grace` at the end of a grace period. */
  readonly source: string;
  readonly storeRevision: number;
}

/** Dependencies of EvacuatedDomains. */
export interface EvacuatedDomainsParts {
  readonly protocol: Pick<RequestProtocol, 'evacuationPrefix'>;
  readonly logger: EventLogger;
  readonly clock: Clock;
}

/** Grace period for which evacuations that a restored store lacks stay in force. */
const REWRITE_GRACE_MS = 2200;

/**
 * The failure domains that operators have evacuated. Their upstreams get no new work, and
 * requests already running there are completed. The known state with the highest store
 * revision is in force, whether it came from the store or from a peer.
 */
export class EvacuatedDomains {
  private readonly parts: EvacuatedDomainsParts;
  private readonly listeners: Array<(change: EvacuationChange) => void> = [];
  private readonly endedAtMs = new Map<string, number>();
  private failureDomains: ReadonlySet<string> = new Set();
  private readonly revision = new ContentRevision();
  /** Store revision of the last full read that was not stale. */
  private lastReadRevision = 0;
  /** Watch events newer than the last full read, by failure domain. */
  private readonly changesSinceRead = new Map<
    string,
    {isEvacuated: boolean; modRevision: number}
  >();

  /** Evacuated failure domains that the store no longer lists, until the grace period ends. */
  private readonly lostDomains = new Set<string>();
  private graceTimer: Timer | undefined;

  constructor(parts: EvacuatedDomainsParts) {
    this.parts = parts;
  }

  /**
   * Begins the grace period after a store outage. The store may have been restored from a
   * backup, so evacuations that it lacks stay in force until operators can rewrite them.
   */
  beginGrace(): void {
    this.graceTimer?.cancel();
    this.graceTimer = this.parts.clock.schedule(REWRITE_GRACE_MS, () =>
      this.endGrace(),
    );
  }

  /** Cancels the grace timer, which would otherwise keep a stopping process alive. */
  stop(): void {
    this.graceTimer?.cancel();
    this.graceTimer = undefined;
  }

  isEvacuated(failureDomain: string): boolean {
    return this.failureDomains.has(failureDomain);
  }

  /** Returns when this instance last saw an evacuation of the domain end; undefined if never. */
  getEndedAtMs(failureDomain: string): number | undefined {
    return this.endedAtMs.get(failureDomain);
  }

  /** Records that changes may have been missed, until the next full read. */
  recordMissedChanges(): void {
    this.revision.beginGap();
  }

  /** Returns the state for peers, at the revision up to which it is complete. */
  getState(): EvacuationState {
    return {
      storeRevision: this.revision.getComplete(),
      failureDomains: [...this.failureDomains].sort(),
    };
  }

  addListener(listener: (change: EvacuationChange) => void): void {
    this.listeners.push(listener);
  }

  /** Applies a full read of the operators' keys; one older than the last is ignored. */
  applyFullRead(
    keyValues: readonly Pick<KeyValue, 'key'>[],
    storeRevision: number,
  ): void {
    if (storeRevision < this.lastReadRevision) return;
    const failureDomains = keyValues.flatMap(({key}) => this.parseKey(key));
    this.revision.recordFullRead(storeRevision);
    this.applyState({storeRevision, failureDomains}, 'store');
  }

  /**
   * Applies evacuations in the part of a full read that has arrived. Evacuations that it
   * lacks stay in force until the whole read.
   */
  applyPartialRead(
    keyValues: readonly Pick<KeyValue, 'key' | 'modRevision'>[],
  ): void {
    const failureDomains = new Set(this.failureDomains);
    for (const {key, modRevision} of keyValues) {
      for (const failureDomain of this.parseKey(key)) {
        const known = this.changesSinceRead.get(failureDomain)?.modRevision;
        if (modRevision <= (known ?? this.lastReadRevision)) continue;
        failureDomains.add(failureDomain);
        this.changesSinceRead.set(failureDomain, {
          isEvacuated: true,
          modRevision,
        });
      }
    }
    if (failureDomains.size > this.failureDomains.size) {
      this.applyDomains(failureDomains, 'store');
    }
  }

  /** Applies changes of the operators' keys that the watch reports. */
  applyEvents(events: readonly WatchEvent[]): void {
    const failureDomains = new Set(this.failureDomains);
    const revisionBefore = this.revision.getNewest();
    for (const {type, key, modRevision} of events) {
      // A watch that began before the last full read repeats older changes.
      if (modRevision <= revisionBefore) continue;
      this.revision.recordChange(modRevision);
      for (const failureDomain of this.parseKey(key)) {
        const isEvacuated = type === 'put';
        if (isEvacuated) failureDomains.add(failureDomain);
        else failureDomains.delete(failureDomain);
        this.changesSinceRead.set(failureDomain, {isEvacuated, modRevision});
      }
    }
    if (this.revision.getNewest() === revisionBefore) return;
    this.applyDomains(failureDomains, 'watch');
  }

  /** Applies a peer's state if it is newer than the revision up to which this one is complete. */
  replaceState(state: EvacuationState, source: string): void {
    if (state.storeRevision <= this.revision.getComplete()) return;
    this.revision.recordCopy(state.storeRevision);
    this.applyState(state, source);
  }

  // Watch events may arrive before the result of an older read; they take precedence for
  // their failure domains.
  private applyState(state: EvacuationState, source: string): void {
    const failureDomains = new Set(state.failureDomains);
    this.lastReadRevision = state.storeRevision;
    for (const [failureDomain, change] of this.changesSinceRead) {
      if (change.modRevision <= state.storeRevision) {
        this.changesSinceRead.delete(failureDomain);
      } else if (change.isEvacuated) failureDomains.add(failureDomain);
      else failureDomains.delete(failureDomain);
    }
    this.applyDomains(failureDomains, source);
  }

  private applyDomains(domains: ReadonlySet<string>, source: string): void {
    const before = this.failureDomains;
    const after = new Set(domains);
    for (const failureDomain of before) {
      if (!this.graceTimer || after.has(failureDomain)) {
        this.lostDomains.delete(failureDomain);
      } else this.lostDomains.add(failureDomain);
    }
    for (const failureDomain of this.lostDomains) after.add(failureDomain);
    this.failureDomains = after;
    this.callListeners(before, source);
  }

  private endGrace(): void {
    this.graceTimer = undefined;
    const before = this.failureDomains;
    this.failureDomains = new Set(
      [...before].filter(each => !this.lostDomains.has(each)),
    );
    this.lostDomains.clear();
    this.callListeners(before, 'grace');
  }

  private callListeners(before: ReadonlySet<string>, source: string): void {
    const after = this.failureDomains;
    const storeRevision = this.revision.getNewest();
    const begun = [...after].filter(each => !before.has(each));
    const ended = [...before].filter(each => !after.has(each));
    if (begun.length + ended.length === 0) return;
    const nowMs = this.parts.clock.getNow();
    for (const each of ended) this.endedAtMs.set(each, nowMs);
    const change = {begun, ended, source, storeRevision};
    for (const listener of this.listeners) listener(change);
  }

  private parseKey(key: string): string[] {
    const {protocol, logger} = this.parts;
    if (!key.startsWith(protocol.evacuationPrefix)) return [];
    const failureDomain = key.slice(protocol.evacuationPrefix.length);
    if (failureDomain !== '') return [failureDomain];
    logger.logEvent('domain.unreadable', {key});
    return [];
  }
}
