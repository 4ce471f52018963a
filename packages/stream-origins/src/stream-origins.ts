import {waitFor, type Clock} from '@hollowstack/clock';
import type {EventLogger} from '@hollowstack/logger';
import type {MetricsRegistry} from '@hollowstack/metrics';
import type {PeerLink, PeerRecord, PeerReply} from '@hollowstack/peers';
import {chooseSubset} from '@hollowstack/routing';
import type {ObservedVersions, StreamOrigin} from '@hollowstack/types';
import type {OriginTable} from './origin-table.ts';
import {judgeResumption, type ResumptionVerdict} from './resumption-verdict.ts';
import type {VersionHistory} from './version-history.ts';

/** Dependencies of StreamOrigins. */
export interface StreamOriginsParts {
  readonly clock: Clock;
  readonly logger: EventLogger;
  readonly metrics: MetricsRegistry;
  readonly link: Pick<PeerLink, 'sendRequest'>;
  /** Lists the peers that are expected to reply. */
  readonly listPeers: () => readonly PeerRecord[];
  readonly table: OriginTable;
  readonly history: VersionHistory;
  /** Returns whether this instance knows all registered upstreams. */
  readonly isViewFresh: () => boolean;
}

/** A stream that a caller resumes. */
export interface ResumedStream {
  readonly key: string;
  readonly service: string;
  readonly requestId: string;
  /** The id that the caller names, for the log. */
  readonly resumedRequestId: string;
}

/** Number of peers that learn the origin of a stream. */
const HOLDER_COUNT = 3;
/**
 * Number of peers that are asked for an origin. It exceeds the number of holders, since two
 * instances do not know the same peers: neither lists itself.
 */
const ASKED_COUNT = 5;
/** Milliseconds for which the first event of a stream waits until a peer knows its origin. */
const ACKNOWLEDGEMENT_WAIT_MS = 25;
/** Milliseconds for a peer to confirm the record of an origin. */
const RECORD_TIMEOUT_MS = 150;
/** Milliseconds for a peer to answer a question, for which a caller waits. */
const QUESTION_TIMEOUT_MS = 100;

/**
 * Shares the origins of resumable streams with a few peers, chosen by the key of the stream,
 * so that a caller can resume a stream at any instance, also when the first one is gone.
 */
export class StreamOrigins {
  private readonly parts: StreamOriginsParts;

  constructor(parts: StreamOriginsParts) {
    this.parts = parts;
  }

  /**
   * Records the origin of a stream whose first event has arrived. Resolves once a peer knows
   * it, or after `ACKNOWLEDGEMENT_WAIT_MS`.
   */
  async recordBegun(origin: Omit<StreamOrigin, 'ageMs'>): Promise<void> {
    const {clock, table} = this.parts;
    const record = {...origin, ageMs: 0};
    table.recordOrigin(record);
    const sent = this.listClosest(origin.key, HOLDER_COUNT).map(peer =>
      this.sendOrigin(peer, record),
    );
    if (sent.length === 0) return;
    await Promise.race([
      Promise.any(sent).catch(() => {}),
      waitFor(clock, ACKNOWLEDGEMENT_WAIT_MS),
    ]);
  }

  /** Judges at which software version a resumed stream goes on, and logs the verdict. */
  async judgeResumed(stream: ResumedStream): Promise<ResumptionVerdict> {
    const {table, history, isViewFresh} = this.parts;
    const observed = [history.getObserved(stream.service)];
    let origin = table.findOrigin(stream.key);
    let source = 'own';
    if (!origin) {
      const asked = this.listClosest(stream.key, ASKED_COUNT);
      const found = await this.askPeers(asked, stream, observed);
      origin = found?.origin;
      source = found?.peer ?? 'none';
      if (origin) table.recordOrigin(origin);
    }
    const verdict = judgeResumption({
      service: stream.service,
      origin,
      observed,
      isViewFresh: isViewFresh(),
    });
    this.logVerdict(stream, verdict, {origin, source, observed});
    return verdict;
  }

  /** Records an origin that a peer sent. */
  recordReported(origin: StreamOrigin): void {
    this.parts.table.recordOrigin(origin);
  }

  /** Answers a peer that asks for the origin of a stream. */
  answerQuestion(
    key: string,
    service: string,
  ): Extract<PeerReply, {type: 'stream-origin'}> {
    return {
      type: 'stream-origin',
      origin: this.parts.table.findOrigin(key),
      observed: this.parts.history.getObserved(service),
    };
  }

  private async sendOrigin(
    peer: PeerRecord,
    origin: StreamOrigin,
  ): Promise<void> {
    const {link} = this.parts;
    const request = {type: 'stream-began', origin} as const;
    const reply = await link.sendRequest(
      peer.address,
      request,
      RECORD_TIMEOUT_MS,
    );
    if (reply.type !== 'done') throw new Error(`${peer.id} took no record`);
  }

  // Resolves with the first origin, or once all peers have replied or timed out. Adds what
  // the peers have observed to `observed`.
  private async askPeers(
    peers: readonly PeerRecord[],
    {key, service}: ResumedStream,
    observed: ObservedVersions[],
  ): Promise<{origin: StreamOrigin; peer: string} | undefined> {
    const questions = peers.map(async peer => {
      const reply = await this.parts.link.sendRequest(
        peer.address,
        {type: 'stream-origin', key, service},
        QUESTION_TIMEOUT_MS,
      );
      if (reply.type !== 'stream-origin') throw new Error('no reply');
      observed.push(reply.observed);
      if (!reply.origin) throw new Error('the peer does not know the stream');
      return {origin: reply.origin, peer: peer.id};
    });
    return Promise.any(questions).catch((): undefined => undefined);
  }

  private listClosest(key: string, count: number): PeerRecord[] {
    const holders = this.parts
      .listPeers()
      .filter(({acceptedRequests}) =>
        acceptedRequests?.includes('stream-origin'),
      );
    return chooseSubset(key, holders, count);
  }

  private logVerdict(
    {service, requestId, resumedRequestId}: ResumedStream,
    verdict: ResumptionVerdict,
    {
      origin,
      source,
      observed,
    }: {
      origin: StreamOrigin | undefined;
      source: string;
      observed: readonly ObservedVersions[];
    },
  ): void {
    const {logger, metrics} = this.parts;
    const outcome =
      verdict.type === 'rejected' ? 'rejected' : origin ? 'known' : 'single';
    metrics.addToCounter('hollowstack_resumed_streams_total', {
      service,
      outcome,
    });
    logger.logEvent('stream.resumed', {
      requestId,
      resumedRequestId,
      service,
      outcome,
      version: verdict.type === 'continued' ? verdict.version : undefined,
      reason: verdict.type === 'rejected' ? verdict.reason : undefined,
      source,
      originAgeMs: origin?.ageMs,
      versions: [...new Set(observed.flatMap(each => each.versions))].join(','),
      observedMs: Math.max(...observed.map(each => each.observedMs)),
    });
  }
}
