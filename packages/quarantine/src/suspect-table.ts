import type {Clock} from '@hollowstack/clock';
import type {EventLogger} from '@hollowstack/logger';
import type {SuspectReport} from '@hollowstack/types';
import type {SuspectPartTable} from './suspect-part-table.ts';
import {
  QUARANTINE_CRASHES,
  countSequentialCrashes,
  hasChanged,
  isSuspected,
  mergeSuspects,
  recordServed,
  type Suspect,
  type UpstreamCrash,
} from './suspect.ts';

/** Identity of a request that may be suspected of crashing upstreams. */
export interface SuspectRequest {
  readonly fingerprint: string;
  readonly service: string;
  readonly workspace: string;
  /** Ids of the parts of its prompt that other requests may share; empty without a prompt. */
  readonly promptParts: readonly string[];
}

/** Dependencies of SuspectTable. */
export interface SuspectTableParts {
  readonly clock: Pick<Clock, 'getNow'>;
  readonly logger: EventLogger;
  /** Crashes that a prompt part explains are not blamed on whole requests. */
  readonly partTable?: Pick<SuspectPartTable, 'isCrashExplained'>;
}

/** Maximum number of requests in the table. */
const MAX_SUSPECTS = 512;
/** Bounds the size of a message to a peer to a few kilobytes. */
const MAX_REPORTS = 32;
/**
 * Retention of a suspected request after a caller last sent it, and of a request without
 * unrefuted crashes after its last change.
 */
const SUSPECT_IDLE_MS = 10 * 60_000;
/** Retention of a quarantined request after a caller last sent it. */
const QUARANTINE_IDLE_MS = 60 * 60_000;
/** Milliseconds for which a change of a request that is not quarantined is reported to peers. */
const CHANGE_REPORT_MS = 30_000;

/**
 * Requests during which upstreams have crashed, merged from local observations and peer
 * reports. Every instance applies the same rule, so no central instance is needed.
 */
export class SuspectTable {
  private readonly parts: SuspectTableParts;
  private readonly suspects = new Map<string, Suspect>();
  private readonly changeListeners: Array<() => void> = [];

  constructor(parts: SuspectTableParts) {
    this.parts = parts;
  }

  /** Returns whether no request is recorded, so that no fingerprints have to be computed. */
  isEmpty(): boolean {
    return this.suspects.size === 0;
  }

  isQuarantined(fingerprint: string): boolean {
    return this.suspects.get(fingerprint)?.isQuarantined === true;
  }

  /** Counts the sequential crashes of a request that no quarantined request explains. */
  countCrashes(fingerprint: string): number {
    const suspect = this.suspects.get(fingerprint);
    return suspect ? this.countUnexplained(suspect) : 0;
  }

  countQuarantined(): number {
    return this.listQuarantined().length;
  }

  countSuspected(): number {
    return [...this.suspects.values()].filter(isSuspected).length;
  }

  /** Lists the quarantined requests as reports for the store. */
  listVerdicts(): SuspectReport[] {
    this.removeIdle();
    const nowMs = this.parts.clock.getNow();
    return this.listQuarantined().map(suspect => toReport(suspect, nowMs));
  }

  /** Adds a listener that is called when the crashes or the quarantine of a request change. */
  addChangeListener(listener: () => void): void {
    this.changeListeners.push(listener);
  }

  /** Records that a caller has sent a request, which extends its retention. */
  recordSeen(fingerprint: string): void {
    const suspect = this.suspects.get(fingerprint);
    if (!suspect) return;
    const seenAtMs = this.parts.clock.getNow();
    this.suspects.set(fingerprint, {...suspect, seenAtMs});
  }

  /** Records that an upstream crashed while it ran a request. */
  recordCrash(request: SuspectRequest, crash: UpstreamCrash): void {
    const nowMs = this.parts.clock.getNow();
    const {fingerprint, service, workspace} = request;
    this.mergeSuspect({
      fingerprint,
      service,
      workspace,
      isQuarantined: false,
      seenAtMs: nowMs,
      changedAtMs: nowMs,
      crashes: [crash],
    });
  }

  /** Records that an upstream answered a request, which refutes all its crashes. */
  recordServed(fingerprint: string): void {
    const suspect = this.suspects.get(fingerprint);
    if (!suspect || !isSuspected(suspect)) return;
    this.releaseSuspect(suspect, 'request.cleared');
  }

  /** Ends a quarantine at the request of an operator; returns whether there was one. */
  releaseRequest(fingerprint: string): boolean {
    const suspect = this.suspects.get(fingerprint);
    if (!suspect?.isQuarantined) return false;
    this.releaseSuspect(suspect, 'request.released');
    return true;
  }

  /**
   * Merges the reports of a peer or of the store.
   *
   * @param source Origin of the reports, for the log.
   */
  applyReports(reports: readonly SuspectReport[], source: string): void {
    const nowMs = this.parts.clock.getNow();
    for (const report of reports) {
      this.mergeSuspect(toSuspect(report, nowMs), source);
    }
  }

  /** Lists quarantines and recent changes to report to peers, most important first. */
  listReports(): SuspectReport[] {
    this.removeIdle();
    const nowMs = this.parts.clock.getNow();
    return [...this.suspects.values()]
      .filter(
        each =>
          each.isQuarantined || nowMs - each.changedAtMs <= CHANGE_REPORT_MS,
      )
      .sort(compareUrgency)
      .slice(0, MAX_REPORTS)
      .map(suspect => toReport(suspect, nowMs));
  }

  private listQuarantined(): Suspect[] {
    return [...this.suspects.values()].filter(each => each.isQuarantined);
  }

  private mergeSuspect(reported: Suspect, source = 'own'): void {
    const known = this.suspects.get(reported.fingerprint);
    const merged = known ? mergeSuspects(known, reported) : reported;
    const suspect = this.judgeSuspect(merged);
    this.suspects.set(suspect.fingerprint, suspect);
    this.removeExcess();
    const wasQuarantined = known?.isQuarantined === true;
    if (suspect.isQuarantined && !wasQuarantined) {
      this.logSuspect('request.quarantined', suspect, source);
    } else if (wasQuarantined && !suspect.isQuarantined) {
      this.logSuspect('request.cleared', suspect, source);
    }
    if (hasChanged(known, suspect)) this.callChangeListeners();
  }

  private judgeSuspect(suspect: Suspect): Suspect {
    if (suspect.isQuarantined) return suspect;
    const isQuarantined = this.countUnexplained(suspect) >= QUARANTINE_CRASHES;
    return {...suspect, isQuarantined};
  }

  // A request is not blamed for the crash of an upstream that also ran a quarantined request.
  private countUnexplained({crashes, fingerprint}: Suspect): number {
    const explained = this.listQuarantined()
      .filter(each => each.fingerprint !== fingerprint)
      .flatMap(each => each.crashes.map(({upstream}) => upstream));
    const {partTable} = this.parts;
    const byPart = crashes
      .map(({upstream}) => upstream)
      .filter(upstream => partTable?.isCrashExplained(upstream));
    return countSequentialCrashes(crashes, new Set([...explained, ...byPart]));
  }

  private releaseSuspect(
    suspect: Suspect,
    event: 'request.cleared' | 'request.released',
  ): void {
    const cleared = recordServed(suspect, this.parts.clock.getNow());
    this.suspects.set(cleared.fingerprint, cleared);
    if (suspect.isQuarantined) {
      this.logSuspect(event, cleared, 'own');
    }
    this.callChangeListeners();
  }

  private removeIdle(): void {
    const nowMs = this.parts.clock.getNow();
    for (const [fingerprint, suspect] of this.suspects) {
      if (isExpired(suspect, nowMs)) this.suspects.delete(fingerprint);
    }
  }

  // Evicts from the workspace with the most entries, so that a caller that varies its
  // requests evicts its own entries and not those of other workspaces.
  private removeExcess(): void {
    while (this.suspects.size > MAX_SUSPECTS) {
      const workspace = findFullestWorkspace([...this.suspects.values()]);
      const leastUrgent = [...this.suspects.values()]
        .filter(each => each.workspace === workspace)
        .sort(compareUrgency)
        .at(-1)!;
      this.suspects.delete(leastUrgent.fingerprint);
    }
  }

  private logSuspect(
    event: 'request.quarantined' | 'request.cleared' | 'request.released',
    suspect: Suspect,
    source: string,
  ): void {
    const {fingerprint, service, workspace, crashes} = suspect;
    const nowMs = this.parts.clock.getNow();
    this.parts.logger.logEvent(event, {
      fingerprint,
      service,
      workspace,
      upstreams: crashes.map(({upstream}) => upstream).join(','),
      agesMs: crashes
        .map(({endedAtMs}) => Math.round(nowMs - endedAtMs))
        .join(','),
      source,
    });
  }

  private callChangeListeners(): void {
    for (const listener of this.changeListeners) listener();
  }
}

function isExpired(suspect: Suspect, nowMs: number): boolean {
  const {isQuarantined, seenAtMs, changedAtMs} = suspect;
  if (!isSuspected(suspect)) return nowMs - changedAtMs > SUSPECT_IDLE_MS;
  const limitMs = isQuarantined ? QUARANTINE_IDLE_MS : SUSPECT_IDLE_MS;
  return nowMs - seenAtMs > limitMs;
}

// Quarantined requests first, then the most recently changed ones.
function compareUrgency(left: Suspect, right: Suspect): number {
  const byVerdict = Number(right.isQuarantined) - Number(left.isQuarantined);
  return byVerdict || right.changedAtMs - left.changedAtMs;
}

function findFullestWorkspace(suspects: readonly Suspect[]): string {
  const counts = new Map<string, number>();
  for (const {workspace} of suspects) {
    counts.set(workspace, (counts.get(workspace) ?? 0) + 1);
  }
  const [fullest] = [...counts].sort(([, left], [, right]) => right - left);
  return fullest[0];
}

function toReport(suspect: Suspect, nowMs: number): SuspectReport {
  const {fingerprint, service, workspace, isQuarantined} = suspect;
  return {
    fingerprint,
    service,
    workspace,
    isQuarantined,
    idleMs: Math.round(nowMs - suspect.seenAtMs),
    crashes: suspect.crashes.map(crash => ({
      upstream: crash.upstream,
      sentAgoMs: Math.round(nowMs - crash.sentAtMs),
      endedAgoMs: Math.round(nowMs - crash.endedAtMs),
      isRefuted: crash.isRefuted,
    })),
  };
}

function toSuspect(report: SuspectReport, nowMs: number): Suspect {
  const {fingerprint, service, workspace, isQuarantined} = report;
  return {
    fingerprint,
    service,
    workspace,
    isQuarantined,
    seenAtMs: nowMs - report.idleMs,
    changedAtMs: nowMs,
    crashes: report.crashes.map(crash => ({
      upstream: crash.upstream,
      sentAtMs: nowMs - crash.sentAgoMs,
      endedAtMs: nowMs - crash.endedAgoMs,
      isRefuted: crash.isRefuted,
    })),
  };
}
