import {connect, type Socket} from 'node:net';
import {
  AnswerReader,
  renderRequest,
  type CallerAnswer,
  type CallerRequest,
} from './caller.mts';

/** An answer and whether its connection had served a request before. */
export interface KeptAnswer {
  readonly answer: CallerAnswer;
  readonly wasKept: boolean;
}

/** A client that keeps its connection for many requests, one at a time. */
export class KeptClient {
  private socket: Socket | undefined;
  private address = '';
  private hasServed = false;
  private end: CallerAnswer['end'] = 'open';
  private reader: AnswerReader | undefined;
  private handleEnd: () => void = () => {};

  /** Returns the address of the open connection; undefined without one. */
  getAddress(): string | undefined {
    return this.socket ? this.address : undefined;
  }

  /** Sends a request on the open connection, or on a new one; never rejects. */
  async sendRequest(request: CallerRequest): Promise<KeptAnswer> {
    const wasKept = this.socket !== undefined && this.hasServed;
    const socket = this.socket ?? this.open(request.address);
    const reader = new AnswerReader();
    this.reader = reader;
    const ended = new Promise<void>(resolve => (this.handleEnd = resolve));
    socket.write(renderRequest(request));
    const deadline = setTimeout(
      () => socket.destroy(new Error('given up')),
      request.deadlineMs,
    );
    await Promise.race([ended, reader.whole]);
    clearTimeout(deadline);
    const answer = reader.createAnswer(this.end);
    const mayKeep =
      answer.isComplete &&
      this.end === 'open' &&
      answer.headers.get('connection')?.toLowerCase() !== 'close';
    this.hasServed = true;
    if (!mayKeep) this.close();
    return {answer, wasKept};
  }

  close(): void {
    this.socket?.destroy();
    this.socket = undefined;
  }

  private open(address: string): Socket {
    const [host, port] = address.split(':');
    const socket = connect({host, port: Number(port), noDelay: true});
    this.socket = socket;
    this.address = address;
    this.hasServed = false;
    this.end = 'open';
    let end: CallerAnswer['end'] = 'orderly';
    socket.on('data', bytes => this.reader?.addBytes(bytes));
    socket.on('error', error => {
      end = error.message === 'given up' ? 'given up' : 'reset';
    });
    socket.once('close', () => {
      if (this.socket !== socket) return;
      this.end = end;
      this.socket = undefined;
      this.handleEnd();
    });
    return socket;
  }
}
