import type {Clock} from '@hollowstack/clock';
import {HollowstackError, type RunStatus} from '@hollowstack/errors';
import type {KeyedWorkspace, Route} from '@hollowstack/routes';
import type {IncomingMessage, ServerResponse} from 'node:http';
import {computeFingerprint} from '@hollowstack/quarantine';
import type {PromptPart} from '@hollowstack/types';
import type {SendGrant} from '@hollowstack/upstream-limits';
import type {RequestProtocol} from './request-protocol.ts';
import type {RegistryState} from './upstream-registry.ts';

/** What is known of a request before it goes anywhere. */
export interface RoutedRequestFacts {
  readonly requestId: string;
  readonly route: Route;
  readonly service: string;
  readonly workspace: KeyedWorkspace | undefined;
  readonly arrivedAtMs: number;
  readonly deadlineAtMs: number;
  /** Milliseconds since the caller's first attempt, 0 for the first one itself. */
  readonly ageMs: number;
  /** When the route's objective ends, counted from the caller's first attempt. */
  readonly dueAtMs: number;
  readonly revision: number;
}

/** One request of a caller, from its head to its end. */
export class RoutedRequest {
  readonly facts: RoutedRequestFacts;
  readonly incoming: IncomingMessage;
  readonly outgoing: ServerResponse;
  readonly body: Buffer | undefined;
  readonly controller = new AbortController();
  /** Upstreams that the request was sent to. */
  readonly sentTo: string[] = [];
  /** Tokens of the prompt; undefined for a request that names none. */
  promptTokens: number | undefined;
  /** Milliseconds that the stages took. */
  stagesMs: number | undefined;
  /** Milliseconds that each stage took, as text for the log. */
  stageDurationsText: string | undefined;
  /** Milliseconds to the first bytes, as admission predicted them. */
  predictedMs: number | undefined;
  /** What this instance knew of upstreams when it last chose one. */
  registryState: RegistryState | undefined;
  /** Unused grant to send this request to a limited upstream. */
  grant: SendGrant | undefined;
  /** Id of the last event that the caller was sent. */
  lastEventId: string | undefined;
  private ran: RunStatus = 'no';
  private firstEventAtMs: number | undefined;
  private fingerprint: string | undefined;

  constructor(
    facts: RoutedRequestFacts,
    incoming: IncomingMessage,
    outgoing: ServerResponse,
    body: Buffer | undefined,
  ) {
    this.facts = facts;
    this.incoming = incoming;
    this.outgoing = outgoing;
    this.body = body;
  }

  get service(): string {
    return this.facts.service;
  }

  /** Name of the caller's workspace; empty for a public route. */
  get workspaceName(): string {
    return this.facts.workspace?.name ?? '';
  }

  get signal(): AbortSignal {
    return this.controller.signal;
  }

  /** Returns what is equal for requests with the same content; computed when first asked. */
  getFingerprint(): string {
    this.fingerprint ??= computeFingerprint({
      method: this.incoming.method ?? 'GET',
      host: this.incoming.headers.host ?? '',
      path: this.incoming.url ?? '/',
      workspace: this.workspaceName,
      body: this.body,
    });
    return this.fingerprint;
  }

  /** Returns milliseconds left before the request is given up. */
  getRemainingMs(clock: Clock): number {
    return Math.floor(this.facts.deadlineAtMs - clock.getNow());
  }

  /** Notes that an upstream may have begun the request, or that it has. */
  recordRan(ran: 'unknown' | 'yes'): void {
    if (this.ran !== 'yes') this.ran = ran;
  }

  /** Notes that the one upstream which could have run it has not. */
  recordNotRun(ranBefore: RunStatus): void {
    this.ran = ranBefore;
  }

  /** Notes that the caller gets its first event now. */
  recordFirstEvent(nowMs: number): void {
    this.firstEventAtMs ??= nowMs;
  }

  /** Returns milliseconds from arrival to the first event, if there was one. */
  getFirstEventMs(): number | undefined {
    if (this.firstEventAtMs === undefined) return undefined;
    return Math.round(this.firstEventAtMs - this.facts.arrivedAtMs);
  }

  getRan(): RunStatus {
    return this.ran;
  }

  getHeader(name: string): string | undefined {
    const value = this.incoming.headers[name];
    return Array.isArray(value) ? value.join(', ') : value;
  }

  /** Returns the parts of the prompt; the last is the request's or its session's own. */
  listPromptParts(protocol: RequestProtocol): PromptPart[] {
    const value = this.getHeader(protocol.headers.promptParts);
    if (value === undefined || !this.facts.route.hasAffinity) return [];
    return protocol.parsePromptParts(value);
  }

  /** Makes the error that ends a request whose time has run out. */
  createDeadlineError(): HollowstackError {
    return new HollowstackError(
      'deadline-exceeded',
      'the deadline or the time-out of the route has passed',
      {ran: this.ran},
    );
  }
}
