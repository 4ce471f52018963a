import type {Clock} from '@hollowstack/clock';
import {HollowstackError, type RunStatus} from '@hollowstack/errors';
import type {
  KeyedWorkspace,
  RegisteredUpstream,
  Route,
} from '@hollowstack/routes';
import type {IncomingMessage, ServerResponse} from 'node:http';
import {computeFingerprint} from '@hollowstack/quarantine';
import {computeStreamKey} from '@hollowstack/stream-origins';
import type {PromptPart} from '@hollowstack/types';
import type {SendGrant} from '@hollowstack/upstream-limits';
import type {CallerConnection, CallerPresence} from './caller-presence.ts';
import type {RequestProtocol} from './request-protocol.ts';
import type {RegistryState} from './upstream-registry.ts';

/** Properties of a request that are determined before it runs and do not change. */
export interface RoutedRequestFacts {
  readonly requestId: string;
  readonly route: Route;
  readonly service: string;
  readonly workspace: KeyedWorkspace | undefined;
  readonly arrivedAtMs: number;
  readonly deadlineAtMs: number;
  /** Milliseconds since the caller's first attempt, 0 for the first one itself. */
  readonly ageMs: number;
  /** Time at which the route's objective ends, counted from the caller's first attempt. */
  readonly dueAtMs: number;
  readonly revision: number;
  /**
   * Id of the request that began the stream which this one resumes; empty if the caller does
   * not name it, undefined for a new stream.
   */
  readonly resumedRequestId: string | undefined;
}

/** Number of shared prompt parts of a request that may be found to crash upstreams. */
const MAX_SHARED_PARTS = 32;
/** Characters of a prompt part's id by which it is remembered. */
const MAX_PART_ID_LENGTH = 64;

/** One request of a caller and its progress. */
export class RoutedRequest {
  readonly facts: RoutedRequestFacts;
  readonly incoming: IncomingMessage;
  readonly outgoing: ServerResponse;
  readonly presence: CallerPresence;
  readonly body: Buffer | undefined;
  readonly controller = new AbortController();
  /** Ids of the upstreams that the request was sent to. */
  readonly sentTo: string[] = [];
  /** Software versions of the upstreams in `sentTo`; empty for an unreported one. */
  readonly sentVersions: string[] = [];
  /** Id of the peer that forwards the last attempt; undefined on a direct connection. */
  via: string | undefined;
  /** Ids of the parts of the prompt that other requests may share. */
  sharedParts: readonly string[] = [];
  /** Key of the verdict on prompt parts for which the request is tried; undefined otherwise. */
  trialKey: string | undefined;
  /** Number of tokens of the prompt; undefined if the request states no prompt parts. */
  promptTokens: number | undefined;
  /** Milliseconds that the first run of the stages took. */
  stagesMs: number | undefined;
  /** Milliseconds that each stage took, formatted for the log. */
  stageDurationsText: string | undefined;
  /** Time to the first bytes that admission predicted, in milliseconds. */
  predictedMs: number | undefined;
  /** State of the upstream registry when an upstream was last chosen. */
  registryState: RegistryState | undefined;
  /** Unused grant to send this request to a limited upstream. */
  grant: SendGrant | undefined;
  /**
   * Software version at which the stream goes on; undefined before the first event of a new
   * stream, which may begin at any version.
   */
  streamVersion: string | undefined;
  /** Id of the last event that was sent to the caller. */
  lastEventId: string | undefined;
  private ran: RunStatus = 'no';
  private firstEventAtMs: number | undefined;
  private fingerprint: string | undefined;

  constructor(
    facts: RoutedRequestFacts,
    {
      incoming,
      outgoing,
      presence,
    }: CallerConnection & {readonly presence: CallerPresence},
    body: Buffer | undefined,
  ) {
    this.facts = facts;
    this.incoming = incoming;
    this.outgoing = outgoing;
    this.presence = presence;
    this.body = body;
  }

  get requestId(): string {
    return this.facts.requestId;
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

  /** Returns a hash that is equal for requests with the same content; computed on first use. */
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

  /** Returns the milliseconds until the deadline of the request. */
  getRemainingMs(clock: Clock): number {
    return Math.floor(this.facts.deadlineAtMs - clock.getNow());
  }

  /** Records that the request is about to be sent to an upstream. */
  addAttempt({id, softwareVersion = ''}: RegisteredUpstream): void {
    this.sentTo.push(id);
    this.sentVersions.push(softwareVersion);
  }

  /** Removes the last attempt, because its upstream has not received or not taken it. */
  removeAttempt(): void {
    this.sentTo.pop();
    this.sentVersions.pop();
  }

  /** Records that an upstream has run the request or may have; `unknown` does not replace `yes`. */
  recordRan(ran: 'unknown' | 'yes'): void {
    if (this.ran !== 'yes') this.ran = ran;
  }

  /** Restores the status from before an attempt whose upstream has not run the request. */
  recordNotRun(ranBefore: RunStatus): void {
    this.ran = ranBefore;
  }

  /** Records that the first event is sent to the caller; later calls have no effect. */
  recordFirstEvent(nowMs: number): void {
    this.firstEventAtMs ??= nowMs;
  }

  /** Returns the milliseconds from arrival to the first event; undefined before it. */
  getFirstEventMs(): number | undefined {
    if (this.firstEventAtMs === undefined) return undefined;
    return Math.round(this.firstEventAtMs - this.facts.arrivedAtMs);
  }

  /** Returns the key under which the instances remember where the stream began. */
  getStreamKey(): string {
    const {resumedRequestId, requestId, route} = this.facts;
    return computeStreamKey({
      workspace: this.workspaceName,
      route: route.name,
      requestId: resumedRequestId || requestId,
    });
  }

  getRunStatus(): RunStatus {
    return this.ran;
  }

  getHeader(name: string): string | undefined {
    const value = this.incoming.headers[name];
    return Array.isArray(value) ? value.join(', ') : value;
  }

  /** Returns the parts of the prompt; the last one is the request's or its session's own. */
  listPromptParts(protocol: RequestProtocol): PromptPart[] {
    const value = this.getHeader(protocol.headers.promptParts);
    if (value === undefined || !this.facts.route.hasAffinity) return [];
    return protocol.parsePromptParts(value);
  }

  /** Returns the ids of the parts of the prompt that other requests may share. */
  listSharedParts(protocol: RequestProtocol): string[] {
    const value = this.getHeader(protocol.headers.promptParts);
    if (value === undefined) return [];
    return protocol
      .parsePromptParts(value)
      .slice(0, -1)
      .slice(0, MAX_SHARED_PARTS)
      .map(({id}) => id.slice(0, MAX_PART_ID_LENGTH));
  }

  /** Creates the error of a request whose deadline has passed. */
  createDeadlineError(): HollowstackError {
    return new HollowstackError(
      'deadline-exceeded',
      'the deadline or the time-out of the route has passed',
      {ran: this.ran},
    );
  }
}
