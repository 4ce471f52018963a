import {TransportError} from '@hollowstack/transport';
import type {IncomingMessage, ServerResponse} from 'node:http';
import {isCloseDelimited, writeUpstreamHead} from './answer-writer.ts';
import {EventSplitter} from './event-splitter.ts';
import type {RoutedRequest} from './routed-request.ts';

/** Forwards the complete events of an upstream's stream to the caller as they arrive. */
export class StreamRelay {
  private readonly request: RoutedRequest;
  private readonly head: IncomingMessage;
  private readonly handleEvents: () => Promise<void> | undefined;
  private readonly splitter = new EventSplitter();

  /**
   * @param handleEvents Called whenever complete events have arrived; a returned promise
   * delays them.
   */
  constructor(
    request: RoutedRequest,
    head: IncomingMessage,
    handleEvents: () => Promise<void> | undefined,
  ) {
    this.request = request;
    this.head = head;
    this.handleEvents = handleEvents;
  }

  /** Resolves once the stream has ended completely. @throws TransportError if it breaks off. */
  async run(): Promise<void> {
    const {request, head, splitter} = this;
    const {outgoing} = request;
    try {
      for await (const chunk of head) {
        const events = splitter.addBytes(chunk);
        if (!events) continue;
        const delay = this.handleEvents();
        if (delay) await delay;
        request.signal.throwIfAborted();
        await this.writeEvents(events.bytes);
        if (events.lastId !== undefined) request.lastEventId = events.lastId;
      }
    } catch (error) {
      const message = error instanceof Error ? error.message : String(error);
      throw new TransportError(message, 'some', error);
    }
    if (!head.complete || splitter.getRest().length > 0) {
      throw new TransportError('the stream broke off', 'some');
    }
    // A stream that another upstream began with a proof of its end ends with one.
    if (request.isEndProven && isCloseDelimited(head)) {
      throw new TransportError('the stream ended without a proof', 'some');
    }
    this.writeHeadOnce();
    outgoing.end();
  }

  private writeHeadOnce(): void {
    const {request, head} = this;
    if (request.outgoing.headersSent) return;
    request.isEndProven = !isCloseDelimited(head);
    writeUpstreamHead(request.outgoing, head);
  }

  private async writeEvents(bytes: Buffer): Promise<void> {
    const {outgoing} = this.request;
    this.writeHeadOnce();
    if (!outgoing.write(bytes)) await waitForDrain(outgoing);
  }
}

function waitForDrain(outgoing: ServerResponse): Promise<void> {
  return new Promise(resolve => {
    const stopWaiting = () => {
      outgoing.off('drain', stopWaiting);
      outgoing.off('close', stopWaiting);
      resolve();
    };
    outgoing.once('drain', stopWaiting);
    outgoing.once('close', stopWaiting);
  });
}
