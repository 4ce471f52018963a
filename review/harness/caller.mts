import {connect, type Socket} from 'node:net';
import {waitMs} from './waiting.mts';

/** One request as a client sends it. */
export interface CallerRequest {
  readonly address: string;
  readonly method: string;
  readonly path: string;
  readonly host: string;
  readonly attemptId: string;
  readonly deadlineMs: number;
  /** Milliseconds after which the client closes its connection; the deadline if left out. */
  readonly giveUpMs?: number;
  readonly headers?: Readonly<Record<string, string>>;
  readonly body?: Buffer;
  /** Bytes a second at which the client reads its answer; all at once if left out. */
  readonly readBytesPerSecond?: number;
}

/** How a connection ended, as the client's own system reports it. */
export type ConnectionEnd = 'orderly' | 'reset' | 'given up';

/** What a client received on a connection of its own. */
export interface CallerAnswer {
  /** 0 if no status line arrived. */
  readonly status: number;
  readonly headers: ReadonlyMap<string, string>;
  readonly body: Buffer;
  /** Whether the answer is complete by the rules of HTTP/1.1. */
  readonly isComplete: boolean;
  /** How the answer marks its end. */
  readonly framing: 'length' | 'chunked' | 'connection' | 'none';
  readonly end: ConnectionEnd | 'open';
}

const HEAD_END = '\r\n\r\n';

/** Sends one request on a new connection and reads its answer; never rejects. */
export async function sendRequest(
  request: CallerRequest,
): Promise<CallerAnswer> {
  const reader = new AnswerReader();
  const [host, port] = request.address.split(':');
  const socket = connect({host, port: Number(port), noDelay: true});
  const ended = watchEnd(socket);
  socket.write(renderRequest(request));
  if (request.readBytesPerSecond === undefined) {
    socket.on('data', bytes => reader.addBytes(bytes));
  } else {
    void readSlowly(socket, reader, request.readBytesPerSecond);
  }
  const deadline = setTimeout(
    () => socket.destroy(new Error('given up')),
    request.giveUpMs ?? request.deadlineMs,
  );
  const end = await Promise.race([ended, reader.whole]);
  clearTimeout(deadline);
  if (end === 'open') socket.destroy();
  return reader.createAnswer(end);
}

function watchEnd(socket: Socket): Promise<ConnectionEnd> {
  return new Promise(resolve => {
    let end: ConnectionEnd = 'orderly';
    socket.on('error', (error: NodeJS.ErrnoException) => {
      end = error.message === 'given up' ? 'given up' : 'reset';
    });
    socket.once('close', () => resolve(end));
  });
}

async function readSlowly(
  socket: Socket,
  reader: AnswerReader,
  bytesPerSecond: number,
): Promise<void> {
  const stepMs = 20;
  const step = Math.max(1, Math.round((bytesPerSecond * stepMs) / 1000));
  let hasEnded = false;
  socket.once('end', () => (hasEnded = true));
  socket.pause();
  while (!hasEnded && !socket.destroyed) {
    // Reads what has arrived, but no more than the step.
    const bytes = (socket.read(Math.min(step, socket.readableLength || 1)) ??
      socket.read()) as Buffer | null;
    if (bytes) reader.addBytes(bytes);
    await waitMs(stepMs);
  }
}

/** Renders a request as it is sent. */
export function renderRequest(request: CallerRequest): Buffer {
  const {method, path, host, attemptId, deadlineMs, body} = request;
  const lines = [
    `${method} ${path} HTTP/1.1`,
    `Host: ${host}`,
    `Attempt-Id: ${attemptId}`,
    `Deadline-Ms: ${deadlineMs}`,
    ...Object.entries(request.headers ?? {}).map(
      ([name, value]) => `${name}: ${value}`,
    ),
    ...(body ? [`Content-Length: ${body.length}`] : []),
  ];
  const head = Buffer.from(lines.join('\r\n') + HEAD_END);
  return body ? Buffer.concat([head, body]) : head;
}

/** Collects the bytes of one answer and knows when it is complete. */
export class AnswerReader {
  /** Resolves once an answer with a length or in chunks is complete. */
  readonly whole: Promise<'open'>;
  private resolveWhole!: (end: 'open') => void;
  private chunks: Buffer[] = [];
  private size = 0;
  private status = 0;
  private headers: Map<string, string> | undefined;
  private bodyStart = 0;
  private isWhole = false;

  constructor() {
    this.whole = new Promise(resolve => (this.resolveWhole = resolve));
  }

  addBytes(bytes: Buffer): void {
    this.chunks.push(bytes);
    this.size += bytes.length;
    if (!this.headers) this.readHead();
    if (!this.headers || this.isWhole) return;
    if (!this.hasWholeBody()) return;
    this.isWhole = true;
    this.resolveWhole('open');
  }

  createAnswer(end: CallerAnswer['end']): CallerAnswer {
    const framing = this.getFraming();
    const isComplete =
      framing === 'connection' ? end === 'orderly' : this.isWhole;
    const raw = this.headers
      ? this.join().subarray(this.bodyStart)
      : Buffer.alloc(0);
    return {
      status: this.status,
      headers: this.headers ?? new Map(),
      body: framing === 'chunked' ? decodeChunks(raw).body : raw,
      isComplete,
      framing,
      end,
    };
  }

  private join(): Buffer {
    if (this.chunks.length > 1) this.chunks = [Buffer.concat(this.chunks)];
    return this.chunks[0] ?? Buffer.alloc(0);
  }

  private readHead(): void {
    const bytes = this.join();
    const end = bytes.indexOf(HEAD_END);
    if (end < 0) return;
    const [statusLine, ...lines] = bytes
      .toString('latin1', 0, end)
      .split('\r\n');
    this.status = Number(statusLine.split(' ')[1]);
    this.headers = new Map(
      lines.map(line => {
        const colon = line.indexOf(':');
        return [
          line.slice(0, colon).toLowerCase(),
          line.slice(colon + 1).trim(),
        ];
      }),
    );
    this.bodyStart = end + HEAD_END.length;
  }

  private getFraming(): CallerAnswer['framing'] {
    if (!this.headers) return 'none';
    if (this.headers.get('transfer-encoding') === 'chunked') return 'chunked';
    return this.headers.has('content-length') ? 'length' : 'connection';
  }

  private hasWholeBody(): boolean {
    const framing = this.getFraming();
    const bodySize = this.size - this.bodyStart;
    if (framing === 'length') {
      return bodySize >= Number(this.headers!.get('content-length'));
    }
    if (framing !== 'chunked') return false;
    return decodeChunks(this.join().subarray(this.bodyStart)).isWhole;
  }
}

function decodeChunks(raw: Buffer): {body: Buffer; isWhole: boolean} {
  const parts: Buffer[] = [];
  let from = 0;
  for (;;) {
    const lineEnd = raw.indexOf('\r\n', from);
    if (lineEnd < 0) return {body: Buffer.concat(parts), isWhole: false};
    const length = parseInt(raw.toString('latin1', from, lineEnd), 16);
    const start = lineEnd + 2;
    if (length === 0) {
      const isWhole = raw.length >= start + 2;
      return {body: Buffer.concat(parts), isWhole};
    }
    parts.push(raw.subarray(start, start + length));
    if (raw.length < start + length + 2) {
      return {body: Buffer.concat(parts), isWhole: false};
    }
    from = start + length + 2;
  }
}
