import {createHash} from 'node:crypto';
import type {Clock} from '@hollowstack/clock';
import type {EventLogger} from '@hollowstack/logger';
import type {PartReport, PartVerdictReport} from '@hollowstack/types';
import {AnsweredParts} from './answered-parts.ts';
import {
  countPartCrashes,
  findVerdicts,
  isExplained,
  judgeParts,
  removeImplied,
  type CrashCase,
  type PartJudgement,
  type PartVerdict,
} from './part-evidence.ts';
import type {UpstreamCrash} from './suspect.ts';
import type {SuspectRequest} from './suspect-table.ts';

/** Dependencies of SuspectPartTable. */
export interface SuspectPartTableParts {
  readonly clock: Pick<Clock, 'getNow'>;
  readonly logger: EventLogger;
}

/** What a request holds that may crash an upstream. */
export interface HeldParts {
  readonly service: string;
  /** Ids of the parts of its prompt that other requests may share. */
  readonly sharedParts: readonly string[];
  getFingerprint(): string;
}

interface KnownCase extends CrashCase {
  /** When this instance recorded it. */
  readonly recordedAtMs: number;
}

/** Maximum number of cases; the oldest are evicted first. */
const MAX_CASES = 256;
/** Retention of a case. */
const CASE_RETENTION_MS = 10 * 60_000;
/** Maximum number of verdicts; a further one replaces the oldest. */
const MAX_VERDICTS = 128;
/** Bounds the size of a message to a peer to a few kilobytes. */
const MAX_REPORTED_CASES = 32;
/** Maximum number of verdicts, and of cleared parts, in a message. */
const MAX_REPORTED_ITEMS = 64;
/** Milliseconds for which a new case or a cleared part is reported to peers. */
const CHANGE_REPORT_MS = 30_000;
/** Retention of a verdict after a caller last sent a request with one of its parts. */
const VERDICT_IDLE_MS = 60 * 60_000;
/** Number of crashes from which on requests with a part run in isolation. */
const ISOLATION_CRASHES = 2;
/** Begins the name under which the own content of a request counts as one of its parts. */
const OWN_PREFIX = '#';
/** Maximum number of upstreams that a verdict names. */
const MAX_UPSTREAMS = 16;

/**
 * Prompt parts under which upstreams have crashed, merged from local observations and peer
 * reports. Every instance applies the same rule, so no central instance is needed.
 */
export class SuspectPartTable {
  private readonly parts: SuspectPartTableParts;
  private readonly answered: AnsweredParts;
  private cases: readonly KnownCase[] = [];
  private verdicts: readonly PartVerdict[] = [];
  /** When this instance learnt that a suspected part is harmless, by service and part. */
  private cleared: ReadonlyArray<{
    service: string;
    part: string;
    clearedAtMs: number;
  }> = [];
  /** When a caller last sent a request with a part of a verdict, by the verdict's key. */
  private readonly seenAtMs = new Map<string, number>();
  private readonly changeListeners: Array<() => void> = [];

  constructor(parts: SuspectPartTableParts) {
    this.parts = parts;
    this.answered = new AnsweredParts(parts.clock);
  }

  /** Adds a listener that is called when there is something new to report to peers. */
  addChangeListener(listener: () => void): void {
    this.changeListeners.push(listener);
  }

  countVerdicts(): number {
    return this.verdicts.length;
  }

  /** Judges a request by the parts that it holds. */
  judgeRequest(request: HeldParts): PartJudgement {
    if (this.verdicts.length === 0 || request.sharedParts.length === 0) {
      return {type: 'allowed'};
    }
    const {service} = request;
    const judgement = judgeParts(service, listHeld(request), this.verdicts);
    if (judgement.type !== 'allowed') this.recordSeen(judgement.verdict, 0);
    return judgement;
  }

  /** Returns whether a part of a request may have crashed upstreams, though not for certain. */
  isSuspected({service, sharedParts}: HeldParts): boolean {
    if (this.cases.length === 0) return false;
    const cases = this.listCases(service);
    return sharedParts.some(
      part => countPartCrashes(part, cases, this.verdicts) >= ISOLATION_CRASHES,
    );
  }

  /** Returns whether a verdict explains the crash of an upstream. */
  isCrashExplained(upstream: string): boolean {
    return this.verdicts.some(verdict =>
      isExplained(upstream, this.cases, verdict),
    );
  }

  /** Records that an upstream crashed while it ran a request. */
  recordCrash(request: SuspectRequest, crash: UpstreamCrash): void {
    const {service, promptParts, fingerprint} = request;
    if (promptParts.length === 0) return;
    const before = listKeys(this.verdicts);
    const {upstream, sentAtMs, endedAtMs} = crash;
    const shared = promptParts.filter(part => !this.isAnswered(service, part));
    const isNew = this.addCase({
      upstream,
      service,
      parts: [...shared, `${OWN_PREFIX}${fingerprint}`],
      sentAtMs,
      endedAtMs,
    });
    if (isNew) this.applyChange('own', before);
  }

  /** Records that an upstream answered a request completely, so its parts are harmless. */
  recordAnswered(request: HeldParts): void {
    const {service, sharedParts} = request;
    if (sharedParts.length === 0) return;
    const nowMs = this.parts.clock.getNow();
    for (const part of sharedParts) {
      this.answered.recordAnswer(service, part, nowMs);
    }
    if (this.cases.length === 0 && this.verdicts.length === 0) return;
    const before = listKeys(this.verdicts);
    const cleared = listHeld(request).filter(part =>
      this.isBlamed(service, part),
    );
    for (const part of cleared) this.removeBlame(service, part, nowMs);
    if (cleared.length > 0) this.applyChange('own', before);
  }

  /** Merges the report of a peer. */
  applyReport({cases, verdicts, cleared}: PartReport, source: string): void {
    const nowMs = this.parts.clock.getNow();
    const before = listKeys(this.verdicts);
    let hasChanged = false;
    for (const {service, part, answeredAgoMs} of cleared) {
      this.answered.recordAnswer(service, part, nowMs - answeredAgoMs);
      if (!this.isBlamed(service, part)) continue;
      this.removeBlame(service, part, nowMs);
      hasChanged = true;
    }
    for (const {sentAgoMs, endedAgoMs, ...reported} of cases) {
      const isNew = this.addCase({
        ...reported,
        parts: this.removeAnswered(reported.service, reported.parts),
        sentAtMs: nowMs - sentAgoMs,
        endedAtMs: nowMs - endedAgoMs,
      });
      hasChanged ||= isNew;
    }
    hasChanged = this.addVerdicts(verdicts) || hasChanged;
    if (hasChanged) this.applyChange(source, before);
  }

  /** Returns what peers should know; undefined if there is nothing. */
  createReport(): PartReport | undefined {
    const nowMs = this.parts.clock.getNow();
    const sinceMs = nowMs - CHANGE_REPORT_MS;
    const cases = this.cases
      .filter(({recordedAtMs}) => recordedAtMs >= sinceMs)
      .slice(-MAX_REPORTED_CASES)
      .map(({upstream, service, parts, sentAtMs, endedAtMs}) => ({
        upstream,
        service,
        parts: [...parts],
        sentAgoMs: Math.round(nowMs - sentAtMs),
        endedAgoMs: Math.round(nowMs - endedAtMs),
      }));
    const verdicts = this.listVerdicts().slice(-MAX_REPORTED_ITEMS);
    const cleared = this.cleared
      .filter(({clearedAtMs}) => clearedAtMs >= sinceMs)
      .slice(-MAX_REPORTED_ITEMS)
      .map(({service, part, clearedAtMs}) => {
        const answeredAtMs = this.answered.findAnswerMs(service, part);
        const answeredAgoMs = Math.round(nowMs - (answeredAtMs ?? clearedAtMs));
        return {service, part, answeredAgoMs};
      });
    const count = cases.length + verdicts.length + cleared.length;
    return count === 0 ? undefined : {cases, verdicts, cleared};
  }

  /** Lists the verdicts as reports, for the store, peers and operators. */
  listVerdicts(): PartVerdictReport[] {
    this.removeIdleVerdicts();
    const nowMs = this.parts.clock.getNow();
    return this.verdicts.map(verdict => ({
      service: verdict.service,
      parts: [...verdict.parts],
      upstreams: verdict.upstreams.slice(0, MAX_UPSTREAMS),
      idleMs: Math.round(nowMs - this.getSeenAtMs(verdict)),
    }));
  }

  /** Merges verdicts that were read from the store. */
  applyVerdicts(verdicts: readonly PartVerdictReport[], source: string): void {
    const before = listKeys(this.verdicts);
    if (this.addVerdicts(verdicts)) this.applyChange(source, before);
  }

  /** Ends a verdict at the request of an operator; returns whether there was one. */
  releaseVerdict(key: string): boolean {
    const verdict = this.verdicts.find(each => computeVerdictKey(each) === key);
    if (!verdict) return false;
    const nowMs = this.parts.clock.getNow();
    for (const part of verdict.parts) {
      this.answered.recordAnswer(verdict.service, part, nowMs);
      this.removeBlame(verdict.service, part, nowMs);
    }
    this.logVerdict('part.released', verdict, 'operator');
    this.callChangeListeners();
    return true;
  }

  // Returns whether the case is new.
  private addCase(found: CrashCase): boolean {
    if (!hasSharedPart(found)) return false;
    const nowMs = this.parts.clock.getNow();
    if (found.endedAtMs < nowMs - CASE_RETENTION_MS) return false;
    const key = found.parts.join();
    const isKnown = this.cases.some(
      ({upstream, parts}) =>
        upstream === found.upstream && parts.join() === key,
    );
    if (isKnown) return false;
    this.cases = [...this.cases, {...found, recordedAtMs: nowMs}]
      .filter(({endedAtMs}) => endedAtMs >= nowMs - CASE_RETENTION_MS)
      .slice(-MAX_CASES);
    return true;
  }

  // Returns whether a verdict is new.
  private addVerdicts(reported: readonly PartVerdictReport[]): boolean {
    const before = listKeys(this.verdicts);
    const reduced = reported
      .filter(({idleMs}) => idleMs <= VERDICT_IDLE_MS)
      .map(verdict => ({
        ...verdict,
        parts: this.removeAnswered(verdict.service, verdict.parts).sort(),
      }))
      .filter(hasSharedPart);
    for (const verdict of reduced) this.recordSeen(verdict, verdict.idleMs);
    this.verdicts = this.joinVerdicts([...this.verdicts, ...reduced]);
    return listKeys(this.verdicts).join() !== before.join();
  }

  private joinVerdicts(verdicts: readonly PartVerdict[]): PartVerdict[] {
    return removeImplied(verdicts).slice(-MAX_VERDICTS);
  }

  // Leaves out the parts that this instance knows to be harmless, and tells its peers.
  private removeAnswered(service: string, parts: readonly string[]): string[] {
    const nowMs = this.parts.clock.getNow();
    return parts.filter(part => {
      if (!this.isAnswered(service, part)) return true;
      this.addCleared(service, part, nowMs);
      return false;
    });
  }

  private isAnswered(service: string, part: string): boolean {
    return this.answered.findAnswerMs(service, part) !== undefined;
  }

  private isBlamed(service: string, part: string): boolean {
    return [...this.cases, ...this.verdicts].some(
      each => each.service === service && each.parts.includes(part),
    );
  }

  private removeBlame(service: string, part: string, nowMs: number): void {
    const reduce = <T extends {service: string; parts: readonly string[]}>(
      each: T,
    ): T =>
      each.service === service
        ? {...each, parts: each.parts.filter(other => other !== part)}
        : each;
    this.cases = this.cases.map(reduce).filter(hasSharedPart);
    const before = this.verdicts;
    this.verdicts = removeImplied(before.map(reduce).filter(hasSharedPart));
    this.addCleared(service, part, nowMs);
    const ended = before.filter(each => !hasSharedPart(reduce(each)));
    for (const verdict of ended)
      this.logVerdict('part.cleared', verdict, 'own');
  }

  private recordSeen(verdict: PartVerdict, idleMs: number): void {
    const key = computeVerdictKey(verdict);
    const atMs = this.parts.clock.getNow() - idleMs;
    this.seenAtMs.set(key, Math.max(atMs, this.seenAtMs.get(key) ?? atMs));
  }

  // A verdict that was just found was seen with its last crash.
  private getSeenAtMs(verdict: PartVerdict): number {
    const key = computeVerdictKey(verdict);
    return this.seenAtMs.get(key) ?? this.parts.clock.getNow();
  }

  private removeIdleVerdicts(): void {
    const sinceMs = this.parts.clock.getNow() - VERDICT_IDLE_MS;
    this.verdicts = this.verdicts.filter(
      verdict => this.getSeenAtMs(verdict) >= sinceMs,
    );
    const keys = new Set(listKeys(this.verdicts));
    for (const key of this.seenAtMs.keys()) {
      if (!keys.has(key)) this.seenAtMs.delete(key);
    }
  }

  private addCleared(service: string, part: string, nowMs: number): void {
    const isListed = this.cleared.some(
      each => each.service === service && each.part === part,
    );
    if (isListed) return;
    this.cleared = [...this.cleared, {service, part, clearedAtMs: nowMs}]
      .filter(({clearedAtMs}) => clearedAtMs >= nowMs - CHANGE_REPORT_MS)
      .slice(-MAX_REPORTED_ITEMS);
    this.callChangeListeners();
  }

  // `before` are the keys of the verdicts before the change.
  private applyChange(source: string, before: readonly string[]): void {
    const services = new Set(this.cases.map(({service}) => service));
    const found = [...services].flatMap(service =>
      findVerdicts(this.listCases(service), this.verdicts),
    );
    this.verdicts = this.joinVerdicts([...this.verdicts, ...found]);
    for (const verdict of this.verdicts) {
      if (before.includes(computeVerdictKey(verdict))) continue;
      this.recordSeen(verdict, 0);
      this.logVerdict('part.quarantined', verdict, source);
    }
    this.callChangeListeners();
  }

  private listCases(service: string): KnownCase[] {
    return this.cases.filter(each => each.service === service);
  }

  private logVerdict(
    event: 'part.quarantined' | 'part.cleared' | 'part.released',
    verdict: PartVerdict,
    source: string,
  ): void {
    const {service, parts, upstreams} = verdict;
    this.parts.logger.logEvent(event, {
      key: computeVerdictKey(verdict),
      service,
      parts: parts.join(','),
      upstreams: upstreams.slice(0, MAX_UPSTREAMS).join(','),
      source,
    });
  }

  private callChangeListeners(): void {
    for (const listener of this.changeListeners) listener();
  }
}

/** Returns the key by which operators and the store name a verdict; hexadecimal. */
export function computeVerdictKey({
  service,
  parts,
}: Pick<PartVerdict, 'service' | 'parts'>): string {
  const text = JSON.stringify([service, ...parts]);
  return createHash('sha256').update(text).digest('hex').slice(0, 32);
}

// Without one, only the own content of a request is left, for which SuspectTable accounts.
function hasSharedPart({parts}: {parts: readonly string[]}): boolean {
  return parts.some(part => !part.startsWith(OWN_PREFIX));
}

function listKeys(verdicts: readonly PartVerdict[]): string[] {
  return verdicts.map(computeVerdictKey);
}

// The own content of a request counts as a part: it may be the cause as well.
function listHeld(request: HeldParts): string[] {
  return [...request.sharedParts, `${OWN_PREFIX}${request.getFingerprint()}`];
}
