import {addAbortHandler} from '@hollowstack/cancellation';
import {
  AsyncQueue,
  HttpClient,
  TransportError,
  type HttpRequest,
  type HttpResponse,
} from '@hollowstack/transport';
import type {MemoryNetwork, ServedHandler} from './memory-network.ts';
import type {SimulatedProcess} from './simulated-process.ts';

/** Sends HTTP requests through the in-memory network on behalf of one process. */
export class MemoryHttpClient extends HttpClient {
  private readonly network: MemoryNetwork;
  private readonly name: string;
  private readonly simulatedProcess: SimulatedProcess;

  constructor(
    network: MemoryNetwork,
    name: string,
    simulatedProcess: SimulatedProcess,
  ) {
    super();
    this.network = network;
    this.name = name;
    this.simulatedProcess = simulatedProcess;
  }

  async send(address: string, request: HttpRequest): Promise<HttpResponse> {
    if (request.signal.aborted) {
      throw new TransportError('given up before sending', 'none');
    }
    await this.simulatedProcess.waitUntilRunning();
    const served = this.network.findHandler(address);
    if (!served || !this.isReachable(served)) {
      await this.network.waitLatency(this.name, served?.name ?? '');
      await this.simulatedProcess.waitUntilRunning();
      throw new TransportError(`${address} refuses connections`, 'none');
    }
    return new Exchange(
      this.network,
      this.name,
      this.simulatedProcess,
      served,
    ).run(address, request);
  }

  private isReachable(served: ServedHandler): boolean {
    return (
      !served.simulatedProcess.isDead() &&
      !this.network.isPartitioned(this.name, served.name)
    );
  }
}

/** One HTTP exchange; either process may be killed or partitioned off while it is in progress. */
class Exchange {
  private readonly network: MemoryNetwork;
  private readonly name: string;
  private readonly simulatedProcess: SimulatedProcess;
  private readonly served: ServedHandler;
  private readonly serverController = new AbortController();
  private readonly cleanups: Array<() => void> = [];

  constructor(
    network: MemoryNetwork,
    name: string,
    simulatedProcess: SimulatedProcess,
    served: ServedHandler,
  ) {
    this.network = network;
    this.name = name;
    this.simulatedProcess = simulatedProcess;
    this.served = served;
  }

  run(address: string, request: HttpRequest): Promise<HttpResponse> {
    return new Promise((resolve, reject) => {
      const failRequest = (message: string) =>
        this.simulatedProcess.deliver(() =>
          reject(new TransportError(message, 'some')),
        );
      this.watchForAbort(request, failRequest);
      this.exchange(address, request, failRequest).then(
        response => this.simulatedProcess.deliver(() => resolve(response)),
        error => failRequest(String(error)),
      );
    });
  }

  private watchForAbort(
    request: HttpRequest,
    failRequest: (message: string) => void,
  ): void {
    const cancelAttempt = () => {
      failRequest('given up');
      void this.cancelAtServer();
    };
    this.cleanups.push(
      addAbortHandler(request.signal, cancelAttempt),
      this.simulatedProcess.addDeathListener(() => void this.cancelAtServer()),
      this.served.simulatedProcess.addDeathListener(() =>
        failRequest('connection reset'),
      ),
    );
  }

  private async exchange(
    address: string,
    request: HttpRequest,
    failRequest: (message: string) => void,
  ): Promise<HttpResponse> {
    await this.network.waitLatency(this.name, this.served.name);
    await this.served.simulatedProcess.waitUntilRunning();
    const response = await this.served.handler({
      ...request,
      signal: this.serverController.signal,
    });
    await this.network.waitLatency(this.served.name, this.name);
    await this.served.simulatedProcess.waitUntilRunning();
    if (this.network.takeLostReply(address) || this.isPartitioned()) {
      failRequest('connection reset');
      void this.cancelAtServer();
      return new Promise(() => {});
    }
    return {...response, body: this.followBody(response.body, request)};
  }

  private followBody(
    body: AsyncIterable<Uint8Array>,
    request: HttpRequest,
  ): AsyncIterable<Uint8Array> {
    const queue = new AsyncQueue<Uint8Array>(() => void this.cancelAtServer());
    const fail = (message: string) =>
      this.simulatedProcess.deliver(() =>
        queue.fail(new TransportError(message, 'some')),
      );
    this.cleanups.push(
      addAbortHandler(request.signal, () => fail('given up')),
      this.served.simulatedProcess.addDeathListener(() =>
        fail('connection reset'),
      ),
    );
    void this.sendBody(body, queue, fail);
    return queue;
  }

  private async sendBody(
    body: AsyncIterable<Uint8Array>,
    queue: AsyncQueue<Uint8Array>,
    fail: (message: string) => void,
  ): Promise<void> {
    try {
      for await (const chunk of body) {
        await this.served.simulatedProcess.waitUntilRunning();
        if (this.isPartitioned()) {
          fail('connection reset');
          void this.cancelAtServer();
          return;
        }
        await this.network.waitLatency(this.served.name, this.name);
        this.simulatedProcess.deliver(() => queue.push(chunk));
      }
      this.simulatedProcess.deliver(() => queue.end());
    } catch (error) {
      fail(String(error));
    } finally {
      this.cleanups.splice(0).forEach(cleanUp => cleanUp());
    }
  }

  private isPartitioned(): boolean {
    return this.network.isPartitioned(this.name, this.served.name);
  }

  private async cancelAtServer(): Promise<void> {
    await this.network.waitLatency(this.name, this.served.name);
    this.served.simulatedProcess.deliver(() =>
      this.serverController.abort(new TransportError('caller gone', 'some')),
    );
  }
}
