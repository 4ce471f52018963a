import {
  AsyncQueue,
  HttpClient,
  TransportError,
  type HttpRequest,
  type HttpResponse,
} from '@hollowstack/transport';
import type {MemoryNetwork, ServedHandler} from './memory-network.ts';
import type {SimulatedProcess} from './simulated-process.ts';

/** Sends requests through the in-memory network. */
export class MemoryHttpClient extends HttpClient {
  private readonly network: MemoryNetwork;
  private readonly name: string;
  private readonly gate: SimulatedProcess;

  constructor(network: MemoryNetwork, name: string, gate: SimulatedProcess) {
    super();
    this.network = network;
    this.name = name;
    this.gate = gate;
  }

  async send(address: string, request: HttpRequest): Promise<HttpResponse> {
    if (request.signal.aborted) {
      throw new TransportError('given up before sending', 'none');
    }
    await this.gate.waitUntilRunning();
    const served = this.network.findHandler(address);
    if (!served || !this.isReachable(served)) {
      await this.network.waitLatency(this.name, served?.name ?? '');
      await this.gate.waitUntilRunning();
      throw new TransportError(`${address} refuses connections`, 'none');
    }
    return new Exchange(this.network, this.name, this.gate, served).run(
      address,
      request,
    );
  }

  private isReachable(served: ServedHandler): boolean {
    return (
      !served.simulatedProcess.isDead() &&
      !this.network.isCut(this.name, served.name)
    );
  }
}

/** One request and its answer; either side may go while it lasts. */
class Exchange {
  private readonly network: MemoryNetwork;
  private readonly name: string;
  private readonly gate: SimulatedProcess;
  private readonly served: ServedHandler;
  private readonly serverController = new AbortController();
  private readonly cleanups: Array<() => void> = [];

  constructor(
    network: MemoryNetwork,
    name: string,
    gate: SimulatedProcess,
    served: ServedHandler,
  ) {
    this.network = network;
    this.name = name;
    this.gate = gate;
    this.served = served;
  }

  run(address: string, request: HttpRequest): Promise<HttpResponse> {
    return new Promise((resolve, reject) => {
      const breakOff = (message: string) =>
        this.gate.deliver(() => reject(new TransportError(message, 'some')));
      this.followEnds(request, breakOff);
      this.exchange(address, request, breakOff).then(
        response => this.gate.deliver(() => resolve(response)),
        error => breakOff(String(error)),
      );
    });
  }

  private followEnds(
    request: HttpRequest,
    breakOff: (message: string) => void,
  ): void {
    const cancelAttempt = () => {
      breakOff('given up');
      void this.cancelAtServer();
    };
    request.signal.addEventListener('abort', cancelAttempt, {once: true});
    this.cleanups.push(
      () => request.signal.removeEventListener('abort', cancelAttempt),
      this.gate.addDeathListener(() => void this.cancelAtServer()),
      this.served.simulatedProcess.addDeathListener(() =>
        breakOff('connection reset'),
      ),
    );
  }

  private async exchange(
    address: string,
    request: HttpRequest,
    breakOff: (message: string) => void,
  ): Promise<HttpResponse> {
    await this.network.waitLatency(this.name, this.served.name);
    await this.served.simulatedProcess.waitUntilRunning();
    const response = await this.served.handler({
      ...request,
      signal: this.serverController.signal,
    });
    await this.network.waitLatency(this.served.name, this.name);
    await this.served.simulatedProcess.waitUntilRunning();
    if (this.network.takeLostReply(address) || this.isCutOff()) {
      breakOff('connection reset');
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
      this.gate.deliver(() => queue.fail(new TransportError(message, 'some')));
    const failGivenUp = () => fail('given up');
    request.signal.addEventListener('abort', failGivenUp, {once: true});
    this.cleanups.push(
      () => request.signal.removeEventListener('abort', failGivenUp),
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
        if (this.isCutOff()) {
          fail('connection reset');
          void this.cancelAtServer();
          return;
        }
        await this.network.waitLatency(this.served.name, this.name);
        this.gate.deliver(() => queue.push(chunk));
      }
      this.gate.deliver(() => queue.end());
    } catch (error) {
      fail(String(error));
    } finally {
      this.cleanups.splice(0).forEach(cleanUp => cleanUp());
    }
  }

  private isCutOff(): boolean {
    return this.network.isCut(this.name, this.served.name);
  }

  private async cancelAtServer(): Promise<void> {
    await this.network.waitLatency(this.name, this.served.name);
    this.served.simulatedProcess.deliver(() =>
      this.serverController.abort(new TransportError('caller gone', 'some')),
    );
  }
}
