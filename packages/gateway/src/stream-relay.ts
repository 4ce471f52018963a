import {waitForDrain} from '@hollowstack/cancellation';
import {
  TransportError,
  type MemoryReservation,
  type SingleCall,
} from '@hollowstack/transport';
import type {IncomingMessage} from 'node:http';
import {isCloseDelimited, writeUpstreamHead} from './answer-writer.ts';
import {EventSplitter, type CompleteEvents} from './event-splitter.ts';
import type {RoutedRequest} from './routed-request.ts';

/** Dependencies and inputs of a StreamRelay. */
export interface StreamRelayParts {
  readonly request: RoutedRequest;
  readonly call: SingleCall;
  readonly head: IncomingMessage;
  /** Counts the bytes of the event that has not ended yet. */
  readonly reservation: MemoryReservation;
  /** Called whenever complete events have arrived; a returned promise delays them. */
  readonly handleEvents: () => Promise<void> | undefined;
  /**
   * Called if the stream has neither a length nor chunks and its connection has ended; rejects
   * if the stream may have broken off.
   */
  readonly checkEnd: () => Promise<void>;
}

/** Forwards the complete events of an upstream's stream to the caller as they arrive. */
export class StreamRelay {
  private readonly parts: StreamRelayParts;
  private readonly splitter = new EventSplitter();

  constructor(parts: StreamRelayParts) {
    this.parts = parts;
  }

  /** Resolves once the stream has ended completely. @throws TransportError if it breaks off. */
  async run(): Promise<void> {
    const {splitter} = this;
    const {request, call, head, reservation, checkEnd} = this.parts;
    for await (const chunk of call.readChunks()) {
      const events = splitter.addBytes(chunk);
      reservation.setBytes(splitter.countRestBytes());
      if (events) await this.handleEvents(events);
    }
    if (splitter.countRestBytes() > 0) {
      throw new TransportError('the stream broke off', 'some');
    }
    if (isCloseDelimited(head)) await checkEnd();
    this.writeHeadOnce();
    request.outgoing.end();
  }

  private async handleEvents({bytes, lastId}: CompleteEvents): Promise<void> {
    const {request, handleEvents} = this.parts;
    const delay = handleEvents();
    if (delay) await delay;
    request.signal.throwIfAborted();
    await this.writeEvents(bytes);
    if (lastId !== undefined) request.lastEventId = lastId;
  }

  private writeHeadOnce(): void {
    const {request, head} = this.parts;
    const {outgoing} = request;
    if (!outgoing.headersSent) writeUpstreamHead(outgoing, head);
  }

  private async writeEvents(bytes: Buffer): Promise<void> {
    const {outgoing} = this.parts.request;
    this.writeHeadOnce();
    if (!outgoing.write(bytes)) await waitForDrain(outgoing);
  }
}
