import {addCloseHandler} from '@hollowstack/cancellation';
import type {Clock} from '@hollowstack/clock';
import {HollowstackError, type RunStatus} from '@hollowstack/errors';
import type {EventLogger} from '@hollowstack/logger';
import type {MetricsRegistry} from '@hollowstack/metrics';
import type {IncomingMessage, ServerResponse} from 'node:http';

/** What a request waits for. */
export type RequestWait =
  | 'start'
  | 'view'
  | 'body'
  | 'admission'
  | 'stages'
  | 'isolation'
  | 'choice'
  | 'place'
  | 'connection'
  | 'upstream';

/** Dependencies of CallerPresence. */
export interface CallerPresenceParts {
  readonly clock: Clock;
  readonly logger: EventLogger;
  readonly metrics: MetricsRegistry;
}

/** The connection of a caller, as far as one of its requests needs it. */
export interface CallerConnection {
  readonly incoming: IncomingMessage;
  readonly outgoing: ServerResponse;
}

/** How a request ended. */
export interface RequestEnd {
  readonly requestId: string | undefined;
  readonly ran: RunStatus;
  /** Ids of the upstreams that the request was sent to. */
  readonly sentTo: readonly string[];
}

/** Notices that a caller has disconnected, and records what is done for it afterwards. */
export class CallerPresence {
  /** What the request waits for now. */
  waitsFor: RequestWait = 'start';
  private readonly parts: CallerPresenceParts;
  private readonly arrivedAtMs: number;
  private disconnectedAtMs: number | undefined;
  /** What the request waited for when its caller disconnected. */
  private waitedForThen: RequestWait | undefined;
  private sendsAfter = 0;
  private readonly controller = new AbortController();
  private readonly removeHandlers: () => void;

  /** Called in the turn in which the request arrives. */
  constructor(parts: CallerPresenceParts, connection: CallerConnection) {
    this.parts = parts;
    this.arrivedAtMs = parts.clock.getNow();
    this.removeHandlers = this.watchConnection(connection);
  }

  /** Aborts once the caller has disconnected without a complete answer. */
  get signal(): AbortSignal {
    return this.controller.signal;
  }

  /** Records that the request is about to be sent to an upstream. */
  recordSend(): void {
    if (this.disconnectedAtMs === undefined) return;
    this.sendsAfter += 1;
    const labels = {waitedFor: this.waitsFor};
    this.parts.metrics.addToCounter(
      'hollowstack_sends_after_disconnect_total',
      labels,
    );
  }

  /** Records that nothing is done for the request any more. */
  recordEnd({requestId, ran, sentTo}: RequestEnd): void {
    this.removeHandlers();
    if (this.disconnectedAtMs === undefined) return;
    const {clock, logger, metrics} = this.parts;
    const waitedFor = this.waitedForThen;
    const releasedAfterMs = clock.getNow() - this.disconnectedAtMs;
    metrics.recordLatency(
      'hollowstack_release_after_disconnect_seconds',
      {waitedFor: waitedFor ?? ''},
      releasedAfterMs,
    );
    logger.logEvent('request.abandoned', {
      requestId,
      waitedFor,
      stayedMs: Math.round(this.disconnectedAtMs - this.arrivedAtMs),
      releasedAfterMs: Math.round(releasedAfterMs),
      sendsAfter: this.sendsAfter,
      ran,
      sentTo: sentTo.join(','),
    });
  }

  // The answer to a pipelined request has no connection, and so emits no 'close', until the
  // earlier requests are answered.
  private watchConnection({incoming, outgoing}: CallerConnection): () => void {
    const {socket} = incoming;
    const handleClose = () => {
      if (!outgoing.writableFinished) this.recordDisconnect();
    };
    const removeAnswerHandler = addCloseHandler(outgoing, handleClose);
    const removeSocketHandler = addCloseHandler(socket, handleClose);
    socket.once('end', handleClose);
    return () => {
      removeAnswerHandler();
      removeSocketHandler();
      socket.off('end', handleClose);
    };
  }

  private recordDisconnect(): void {
    if (this.disconnectedAtMs !== undefined) return;
    const {clock, metrics} = this.parts;
    this.disconnectedAtMs = clock.getNow();
    this.waitedForThen = this.waitsFor;
    metrics.addToCounter('hollowstack_callers_disconnected_total', {
      waitedFor: this.waitsFor,
    });
    this.controller.abort(
      new HollowstackError('caller-gone', 'the caller has gone', {ran: 'no'}),
    );
  }
}
