import {SystemClock} from '@hollowstack/clock';
import {
  EngineStandIn,
  PlatformStandIn,
  PoolStandIn,
  ServiceStandIn,
} from '@hollowstack/stand-ins';
import {NodeHttpServer, type HttpHandler} from '@hollowstack/transport';
import {splitAddress} from '@hollowstack/types';
import {Command, Option} from 'clipanion';
import {ReportingCommand} from '../../reporting-command.ts';

const CATEGORY = 'Stand-ins';

abstract class StandInCommand extends ReportingCommand {
  listen = Option.String('--listen', '127.0.0.1:0', {
    description: 'IP address and port to listen at',
  });

  /** Creates the handler of the stand-in's requests. */
  protected abstract createHandler(): HttpHandler;

  protected async runCommand(): Promise<number> {
    const server = new NodeHttpServer(this.createHandler());
    const {host, port} = splitAddress(this.listen);
    const address = await server.listen(host, port);
    this.print(JSON.stringify({listening: address}));
    await waitForStop();
    server.closeAllConnections();
    return 0;
  }
}

/** `hollowstack stand-in platform`: runs a stand-in of the platform's service. */
export class StandInPlatformCommand extends StandInCommand {
  static override paths = [['stand-in', 'platform']];
  static override usage = Command.Usage({
    category: CATEGORY,
    description: "run a stand-in of the platform's service",
    details: 'Faults are set by POST /stand-in/faults with JSON.',
  });

  protected createHandler(): HttpHandler {
    const standIn = new PlatformStandIn(new SystemClock());
    return request => standIn.handle(request);
  }
}

/** `hollowstack stand-in engine`: runs a stand-in of a model engine. */
export class StandInEngineCommand extends StandInCommand {
  static override paths = [['stand-in', 'engine']];
  static override usage = Command.Usage({
    category: CATEGORY,
    description: 'run a stand-in of a model engine',
  });

  models = Option.Array('--model', ['assistant'], {
    description: 'model that it serves, repeatable',
  });
  stepMs = Option.String('--step-ms', '5', {
    description: 'milliseconds per token with an empty batch',
  });
  perSequenceMs = Option.String('--per-sequence-ms', '0.4', {
    description: 'additional milliseconds per sequence in the batch',
  });
  maxRunning = Option.String('--max-running', '16', {
    description: 'maximum number of sequences generated at the same time',
  });

  protected createHandler(): HttpHandler {
    const standIn = new EngineStandIn(new SystemClock(), {
      maxRunning: Number(this.maxRunning),
      stepMs: Number(this.stepMs),
      perSequenceMs: Number(this.perSequenceMs),
      prefillPerKilocharacterMs: 15,
      cacheBlocks: 500,
      reportLagMs: 1000,
      models: this.models,
      checksFence: true,
      loseCacheEventEvery: 0,
      loadMs: 500,
    });
    return request => standIn.handle(request);
  }
}

/** `hollowstack stand-in pool`: runs a stand-in of an encoder, retriever or reranker. */
export class StandInPoolCommand extends StandInCommand {
  static override paths = [['stand-in', 'pool']];
  static override usage = Command.Usage({
    category: CATEGORY,
    description: 'run a stand-in of an encoder, retriever or reranker',
  });

  baseMs = Option.String('--base-ms', '6', {
    description: 'milliseconds for a request without input',
  });
  slots = Option.String('--slots', '4', {
    description: 'maximum number of requests processed at the same time',
  });

  protected createHandler(): HttpHandler {
    const standIn = new PoolStandIn(new SystemClock(), {
      slots: Number(this.slots),
      baseMs: Number(this.baseMs),
      perKilocharacterMs: 4,
      spread: 0.2,
      reportLagMs: 500,
    });
    return request => standIn.handle(request);
  }
}

/** `hollowstack stand-in service`: runs a stand-in of a plain service. */
export class StandInServiceCommand extends StandInCommand {
  static override paths = [['stand-in', 'service']];
  static override usage = Command.Usage({
    category: CATEGORY,
    description: 'run a stand-in of a plain service',
  });

  serviceMs = Option.String('--service-ms', '20', {
    description: 'duration of a call in milliseconds',
  });

  protected createHandler(): HttpHandler {
    const standIn = new ServiceStandIn(new SystemClock(), {
      slots: 8,
      serviceMs: Number(this.serviceMs),
      reportLagMs: 500,
    });
    return request => standIn.handle(request);
  }
}

function waitForStop(): Promise<void> {
  return new Promise(resolve => {
    process.once('SIGTERM', resolve);
    process.once('SIGINT', resolve);
  });
}
