import {
  createServer,
  type IncomingMessage,
  type Server,
  type ServerResponse,
} from 'node:http';
import type {AddressInfo} from 'node:net';
import type {Recorder} from './recorder.mts';

/** A request that an engine has begun to run. */
export interface EngineRun {
  readonly attemptId: string;
  readonly engineId: string;
  readonly atMs: number;
  /** Whether the whole answer was handed to the engine's socket. */
  isAnswered: boolean;
  /** Whether the connection was closed before that. */
  wasCut: boolean;
}

/** How an engine serves. */
export interface EngineOptions {
  readonly id: string;
  readonly service: string;
  readonly failureDomain: string;
  readonly capacity: number;
  readonly recorder: Recorder;
  /** Runs an accepted request to the end of its answer. */
  readonly serve: (
    run: EngineRun,
    incoming: IncomingMessage,
    outgoing: ServerResponse,
    body: Buffer,
  ) => Promise<void>;
}

/** A sound engine as the pages describe it, for requests without stages. */
export class Engine {
  readonly options: EngineOptions;
  readonly runs: EngineRun[] = [];
  private readonly server: Server;
  private sequence = 1;
  private address = '';

  constructor(options: EngineOptions) {
    this.options = options;
    this.server = createServer((incoming, outgoing) => {
      this.handle(incoming, outgoing).catch(() => outgoing.destroy());
    });
  }

  async listen(): Promise<void> {
    await new Promise<void>(resolve =>
      this.server.listen(0, '127.0.0.1', () => resolve()),
    );
    this.address = `127.0.0.1:${(this.server.address() as AddressInfo).port}`;
  }

  close(): void {
    this.server.close();
    this.server.closeAllConnections();
  }

  getAddress(): string {
    return this.address;
  }

  /** Returns the entry that the engine keeps in the platform's store. */
  createEntry(phase: 'ready' | 'draining' = 'ready'): object {
    const {service, failureDomain, capacity} = this.options;
    return {
      backend: service,
      address: this.address,
      zone: failureDomain,
      config_revision: 'v1',
      capacity,
      phase,
      warmup_left_ms: 0,
      sequence: this.sequence++,
    };
  }

  private async handle(
    incoming: IncomingMessage,
    outgoing: ServerResponse,
  ): Promise<void> {
    const chunks: Buffer[] = [];
    for await (const chunk of incoming) chunks.push(chunk);
    const {id, recorder, serve} = this.options;
    const attemptId = incoming.headers['attempt-id'];
    const target = incoming.headers['target-instance'];
    if (target !== undefined && target !== id) {
      outgoing
        .writeHead(421, {'Attempt-Id': String(attemptId), 'Not-Executed': '1'})
        .end();
      return;
    }
    if (incoming.url === '/healthz') {
      outgoing.writeHead(200, {'Instance-Id': id}).end();
      return;
    }
    if (incoming.url === '/-/kv-list') {
      outgoing
        .writeHead(200, {'Content-Type': 'application/json'})
        .end(JSON.stringify({epoch: 1, next_page_token: 0, held: []}));
      return;
    }
    if (typeof attemptId !== 'string') {
      outgoing.writeHead(400, {'Not-Executed': '1'}).end();
      return;
    }
    const run: EngineRun = {
      attemptId,
      engineId: id,
      atMs: recorder.getNow(),
      isAnswered: false,
      wasCut: false,
    };
    this.runs.push(run);
    recorder.write(`engine ${id} runs ${attemptId}`);
    outgoing.once('close', () => {
      if (outgoing.writableFinished) return;
      run.wasCut = true;
      recorder.write(`engine ${id}: connection of ${attemptId} closed early`);
    });
    await serve(run, incoming, outgoing, Buffer.concat(chunks));
  }
}
