import {HollowstackError} from '@hollowstack/errors';
import type {MetricsRegistry} from '@hollowstack/metrics';
import type {BrokenAttempt, CrashDetector} from './crash-detector.ts';
import type {SuspectTable} from './suspect-table.ts';

/** A request whose fingerprint is computed when it is needed. */
export interface QuarantineSubject {
  readonly service: string;
  /** Name of the caller's workspace; empty for a public route. */
  readonly workspaceName: string;
  getFingerprint(): string;
}

/** Dependencies of RequestQuarantine. */
export interface RequestQuarantineParts {
  readonly metrics: MetricsRegistry;
  readonly table: SuspectTable;
  readonly detector: CrashDetector;
}

/**
 * Crashes one after the other from which on a request is tried alone, and not again on
 * the product's own account.
 */
const ISOLATION_CRASHES = 2;

/** Keeps requests that crash their upstreams away from further ones. */
export class RequestQuarantine {
  private readonly parts: RequestQuarantineParts;

  constructor(parts: RequestQuarantineParts) {
    this.parts = parts;
  }

  /** Notes that a caller sent a request. @throws HollowstackError where it is refused. */
  admitRequest(subject: QuarantineSubject): void {
    const {table} = this.parts;
    if (table.isEmpty()) return;
    table.recordSeen(subject.getFingerprint());
    this.checkRequest(subject);
  }

  /** @throws HollowstackError `request-quarantined` where the request is refused. */
  checkRequest(subject: QuarantineSubject): void {
    if (!this.isQuarantined(subject)) return;
    const {service, workspaceName: workspace} = subject;
    const fingerprint = subject.getFingerprint();
    this.parts.metrics.addToCounter('hollowstack_quarantine_refusals_total', {
      service,
      workspace,
    });
    throw new HollowstackError(
      'request-quarantined',
      `upstreams of ${service} crashed one after the other while they ran this request (fingerprint ${fingerprint})`,
    );
  }

  isQuarantined(subject: QuarantineSubject): boolean {
    const {table} = this.parts;
    return !table.isEmpty() && table.isQuarantined(subject.getFingerprint());
  }

  /** Returns whether a request may only be tried alone, and not be retried here. */
  isIsolated(subject: QuarantineSubject): boolean {
    const {table} = this.parts;
    if (table.isEmpty()) return false;
    return table.countCrashes(subject.getFingerprint()) >= ISOLATION_CRASHES;
  }

  /** Notes that an upstream answered a request. */
  recordServed(subject: QuarantineSubject): void {
    const {table, detector} = this.parts;
    if (table.isEmpty() && !detector.hasPending()) return;
    const fingerprint = subject.getFingerprint();
    detector.recordServed(fingerprint);
    table.recordServed(fingerprint);
  }

  /** Notes that the connection of an attempt ended, or fell silent, under a request. */
  recordBroken(
    subject: QuarantineSubject,
    attempt: Omit<BrokenAttempt, 'request'>,
  ): void {
    const {service, workspaceName: workspace} = subject;
    const fingerprint = subject.getFingerprint();
    const request = {service, workspace, fingerprint};
    this.parts.detector.recordBroken({...attempt, request});
  }

  /** Notes that an upstream refused a connection. */
  recordRefusedConnection(upstreamId: string): void {
    this.parts.detector.recordRefusedConnection(upstreamId);
  }
}
