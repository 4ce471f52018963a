import {waitFor, type Clock} from '@hollowstack/clock';
import {HollowstackError} from '@hollowstack/errors';
import type {EventLogger} from '@hollowstack/logger';
import type {MetricsRegistry} from '@hollowstack/metrics';
import type {BrokenAttempt, CrashDetector} from './crash-detector.ts';
import type {PartTrials} from './part-trials.ts';
import {
  computeVerdictKey,
  type HeldParts,
  type SuspectPartTable,
} from './suspect-part-table.ts';
import type {SuspectRequest, SuspectTable} from './suspect-table.ts';

/** A request whose fingerprint is computed on demand. */
export interface QuarantineSubject extends HeldParts {
  readonly service: string;
  readonly requestId: string;
  /** Name of the caller's workspace; empty for a public route. */
  readonly workspaceName: string;
  /** Key of the verdict for which the request is tried; undefined for any other request. */
  trialKey: string | undefined;
}

/** Dependencies of RequestQuarantine. */
export interface RequestQuarantineParts {
  readonly clock: Clock;
  readonly metrics: MetricsRegistry;
  readonly logger: EventLogger;
  readonly table: SuspectTable;
  readonly partTable: SuspectPartTable;
  readonly trials: Pick<PartTrials, 'acquireTrial'>;
  readonly detector: CrashDetector;
}

/**
 * Number of sequential crashes from which on a request runs in isolation and is not retried
 * automatically.
 */
const ISOLATION_CRASHES = 2;
/** Milliseconds after which a caller may retry a request that awaits the end of a trial. */
const TRIAL_RETRY_AFTER_MS = 500;

/** Milliseconds for which a request waits for the end of the trial of another one. */
const MAX_TRIAL_WAIT_MS = 400;
/** Milliseconds between two looks at the outcome. */
const TRIAL_POLL_MS = 25;

/** Refuses requests that have crashed several upstreams, and isolates suspected ones. */
export class RequestQuarantine {
  private readonly parts: RequestQuarantineParts;

  constructor(parts: RequestQuarantineParts) {
    this.parts = parts;
  }

  /**
   * Records that a caller sent a request, and checks it.
   *
   * @throws HollowstackError `request-quarantined` if the request is quarantined.
   */
  async admitRequest(subject: QuarantineSubject): Promise<void> {
    const {table} = this.parts;
    if (!table.isEmpty()) table.recordSeen(subject.getFingerprint());
    await this.checkRequest(subject);
  }

  /**
   * Checks a request. One that may hold a part which crashes upstreams is tried if no other
   * one is.
   *
   * @throws HollowstackError `request-quarantined` if the request is quarantined,
   * `upstream-unavailable` if it has to wait for the end of a trial.
   */
  async checkRequest(subject: QuarantineSubject): Promise<void> {
    if (this.isRequestQuarantined(subject)) {
      throw this.createRefusal(
        subject,
        `while they ran this request (fingerprint ${subject.getFingerprint()})`,
      );
    }
    const judgement = this.parts.partTable.judgeRequest(subject);
    if (judgement.type === 'allowed') return;
    const {verdict} = judgement;
    const key = computeVerdictKey(verdict);
    if (judgement.type === 'refused') {
      throw this.createRefusal(
        subject,
        `under requests with a part of its prompt (${verdict.parts.join(', ')}; verdict ${key})`,
      );
    }
    if (subject.trialKey === key) return;
    await this.acquireTrial(subject, key);
  }

  /** Returns whether a request must not be sent, as far as is known without a trial. */
  isQuarantined(subject: QuarantineSubject): boolean {
    if (this.isRequestQuarantined(subject)) return true;
    const judgement = this.parts.partTable.judgeRequest(subject);
    if (judgement.type !== 'uncertain') return judgement.type === 'refused';
    return subject.trialKey !== computeVerdictKey(judgement.verdict);
  }

  /** Returns whether the own content of a request may crash upstreams. */
  isRequestSuspected(subject: QuarantineSubject): boolean {
    const {table} = this.parts;
    if (table.isEmpty()) return false;
    return table.countCrashes(subject.getFingerprint()) >= ISOLATION_CRASHES;
  }

  /** Returns whether a request must run in isolation and must not be retried here. */
  isIsolated(subject: QuarantineSubject): boolean {
    return (
      subject.trialKey !== undefined ||
      this.parts.partTable.isSuspected(subject) ||
      this.isRequestSuspected(subject)
    );
  }

  /** Records that an upstream answered a request, perhaps with an error of its own. */
  recordServed(subject: QuarantineSubject): void {
    const {table, detector} = this.parts;
    if (table.isEmpty() && !detector.hasPending()) return;
    const fingerprint = subject.getFingerprint();
    detector.recordServed(fingerprint);
    table.recordServed(fingerprint);
  }

  /** Records that an upstream ran a request to the end, so that its parts are harmless. */
  recordCompleted(subject: QuarantineSubject): void {
    this.parts.partTable.recordAnswered(subject);
  }

  /** Records that the connection of an attempt closed or became unresponsive. */
  recordBroken(
    subject: QuarantineSubject,
    attempt: Omit<BrokenAttempt, 'request'>,
  ): void {
    const {service, workspaceName: workspace, sharedParts} = subject;
    const request: SuspectRequest = {
      service,
      workspace,
      fingerprint: subject.getFingerprint(),
      // Prompt parts crash the upstreams that answer, not those of stages.
      promptParts: attempt.upstream.service === service ? sharedParts : [],
    };
    this.parts.detector.recordBroken({...attempt, request});
  }

  /**
   * Records that an upstream refused a connection or that another upstream now answers at
   * its address; broken attempts there then count as crashes.
   */
  recordRefusedConnection(upstreamId: string): void {
    this.parts.detector.recordRefusedConnection(upstreamId);
  }

  private isRequestQuarantined(subject: QuarantineSubject): boolean {
    const {table} = this.parts;
    return !table.isEmpty() && table.isQuarantined(subject.getFingerprint());
  }

  private async acquireTrial(
    subject: QuarantineSubject,
    key: string,
  ): Promise<void> {
    const {trials, logger} = this.parts;
    const {service, requestId} = subject;
    const isGranted = await trials.acquireTrial(key);
    if (!isGranted) {
      if (await this.waitUntilAllowed(subject)) return;
      throw new HollowstackError(
        'upstream-unavailable',
        `a part of the prompt may crash upstreams of ${service} (verdict ${key}); another request is tried`,
        {ran: 'no', retryAfterMs: TRIAL_RETRY_AFTER_MS},
      );
    }
    subject.trialKey = key;
    logger.logEvent('part.trial', {requestId, service, key});
  }

  // Most trials end soon, and their outcome reaches all instances.
  private async waitUntilAllowed(subject: QuarantineSubject): Promise<boolean> {
    const {clock, partTable} = this.parts;
    const endMs = clock.getNow() + MAX_TRIAL_WAIT_MS;
    while (clock.getNow() < endMs) {
      await waitFor(clock, TRIAL_POLL_MS);
      const {type} = partTable.judgeRequest(subject);
      if (type !== 'uncertain') return type === 'allowed';
    }
    return false;
  }

  private createRefusal(
    {service, workspaceName: workspace}: QuarantineSubject,
    cause: string,
  ): HollowstackError {
    this.parts.metrics.addToCounter('hollowstack_quarantine_refusals_total', {
      service,
      workspace,
    });
    return new HollowstackError(
      'request-quarantined',
      `upstreams of ${service} crashed one after the other ${cause}`,
    );
  }
}
