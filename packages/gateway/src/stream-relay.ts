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
  private readonly checkEnd: () => Promise<void>;
  private readonly splitter = new EventSplitter();

  /**
   * @param handleEvents Called whenever complete events have arrived; a returned promise
   * delays them.
   * @param checkEnd Called if the stream has neither a length nor chunks and its connection
   * has ended; rejects if the stream may have broken off.
   */
  constructor(
    request: RoutedRequest,
    head: IncomingMessage,
    handleEvents: () => Promise<void> | undefined,
    checkEnd: () => Promise<void>,
  ) {
    this.request = request;
    this.head = head;
    this.handleEvents = handleEvents;
    this.checkEnd = checkEnd;
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
    if (isCloseDelimited(head)) await this.checkEnd();
    this.writeHeadOnce();
    outgoing.end();
  }

  private writeHeadOnce(): void {
    const {outgoing} = this.request;
    if (!outgoing.headersSent) writeUpstreamHead(outgoing, this.head);
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
