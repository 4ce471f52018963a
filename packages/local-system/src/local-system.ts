import {
  createDaemon,
  settingsSchema,
  type Daemon,
  type Settings,
} from '@hollowstack/entry';
import type {Clock} from '@hollowstack/clock';
import {SilentEventLogger, type EventLogger} from '@hollowstack/logger';
import {
  EngineStandIn,
  PlatformStandIn,
  PoolStandIn,
  ServiceStandIn,
  type EngineOptions,
  type HandlerStandIn,
  type PoolOptions,
} from '@hollowstack/stand-ins';
import type {ConfigObject, Upstream} from '@hollowstack/types';
import {
  OPERATOR_KEY,
  createSampleConfiguration,
  type SampleUpstreams,
} from './sample-configuration.ts';
import {SystemCaller} from './system-caller.ts';
import type {SystemNetwork} from './system-network.ts';

/** Size and setup of a local system: the number of processes of each kind, and their options. */
export interface LocalSystemOptions {
  readonly instances: number;
  readonly encoders: number;
  readonly retrievers: number;
  readonly rerankers: number;
  readonly engines: number;
  readonly bookings: number;
  readonly random: () => number;
  readonly logger?: EventLogger;
  /** Returns the settings to use for an instance, given the default ones. */
  readonly applyToSettings?: (settings: Settings) => Settings;
  readonly engineOptions?: Partial<EngineOptions>;
  readonly poolOptions?: Partial<
    Readonly<Record<'encode' | 'retrieve' | 'rerank', Partial<PoolOptions>>>
  >;
}

/** One daemon of a local system. */
export interface LocalInstance {
  readonly id: string;
  readonly daemon: Daemon;
  readonly address: string;
  readonly settings: Settings;
  /** Resolves once the instance is ready. */
  readonly started: Promise<void>;
}

/** One upstream stand-in of a local system. */
export interface LocalUpstream<
  StandIn extends HandlerStandIn = HandlerStandIn,
> {
  readonly upstream: Upstream;
  readonly standIn: StandIn;
}

const FAILURE_DOMAINS = ['domain-a', 'domain-b', 'domain-c'];

const POOL_OPTIONS: PoolOptions = {
  slots: 4,
  baseMs: 6,
  perKilocharacterMs: 4,
  spread: 0.2,
  reportLagMs: 500,
};

const ENGINE_OPTIONS: EngineOptions = {
  maxRunning: 16,
  stepMs: 5,
  perSequenceMs: 0.4,
  prefillPerKilocharacterMs: 15,
  cacheBlocks: 500,
  reportLagMs: 1000,
  models: ['assistant'],
  checksFence: true,
  loseCacheEventEvery: 17,
  loadMs: 500,
};

/** Runs a complete system in this process; instances can be added and removed while it runs. */
export class LocalSystem {
  readonly network: SystemNetwork;
  readonly platform: PlatformStandIn;
  readonly instances: LocalInstance[] = [];
  readonly encoders: Array<LocalUpstream<PoolStandIn>> = [];
  readonly retrievers: Array<LocalUpstream<PoolStandIn>> = [];
  readonly rerankers: Array<LocalUpstream<PoolStandIn>> = [];
  readonly engines: Array<LocalUpstream<EngineStandIn>> = [];
  readonly bookings: Array<LocalUpstream<ServiceStandIn>> = [];
  private readonly options: LocalSystemOptions;
  private platformAddress = '';
  private nextInstance = 1;

  constructor(network: SystemNetwork, options: LocalSystemOptions) {
    this.network = network;
    this.options = options;
    const {clock} = network.createEnvironment('platform');
    this.platform = new PlatformStandIn(clock);
  }

  /** Starts the stand-ins and the daemons without publishing a configuration. */
  async start(): Promise<void> {
    this.platformAddress = await this.network.reserveAddress();
    await this.network.serve('platform', this.platformAddress, request =>
      this.platform.handle(request),
    );
    await this.startUpstreams();
    for (let count = 0; count < this.options.instances; count++) {
      await this.startInstance();
    }
  }

  /**
   * Publishes a configuration through the first instance; by default the sample configuration.
   *
   * @throws Error if the instance does not accept it.
   */
  async publish(objects?: readonly ConfigObject[]): Promise<void> {
    const caller = this.createCaller(this.instances[0]);
    const answer = await caller.callOperator('POST', 'configuration', {
      changeId: `setup-${Math.floor(this.options.random() * 1e9)}`,
      author: 'local-system',
      objects: objects ?? createSampleConfiguration(this.listUpstreams()),
    });
    if (answer.status !== 200) {
      throw new Error(
        `configuration was not published: ${JSON.stringify(answer.body)}`,
      );
    }
  }

  /** Resolves once every instance is ready. */
  async waitUntilReady(): Promise<void> {
    await Promise.all(this.instances.map(({started}) => started));
  }

  /** Starts an additional instance; it may not be ready when this resolves. */
  async startInstance(id?: string): Promise<LocalInstance> {
    const settings = await this.createSettings(id);
    const instanceId = settings.instance.id;
    const {clock, client, peerNetwork} =
      this.network.createEnvironment(instanceId);
    const daemon = createDaemon(settings, {
      clock,
      client,
      peerNetwork,
      logger: this.options.logger ?? new SilentEventLogger(),
      random: this.options.random,
    });
    await daemon.parts.link.listen(settings.listen.peerAddress);
    await this.network.serve(instanceId, settings.listen.address, request =>
      daemon.handle(request),
    );
    const instance: LocalInstance = {
      id: instanceId,
      daemon,
      address: settings.listen.address,
      settings,
      started: daemon.start(),
    };
    this.instances.push(instance);
    return instance;
  }

  /** Removes a stopped or killed instance from the list of instances. */
  removeInstance(instance: LocalInstance): void {
    const index = this.instances.indexOf(instance);
    if (index >= 0) this.instances.splice(index, 1);
  }

  /** Creates a caller that sends all its requests to one instance. */
  createCaller(instance: LocalInstance): SystemCaller {
    const {client} = this.network.createEnvironment('callers');
    return new SystemCaller(client, instance.address);
  }

  listUpstreams(): SampleUpstreams {
    return {
      encode: this.encoders.map(({upstream}) => upstream),
      retrieve: this.retrievers.map(({upstream}) => upstream),
      rerank: this.rerankers.map(({upstream}) => upstream),
      generate: this.engines.map(({upstream}) => upstream),
      booking: this.bookings.map(({upstream}) => upstream),
    };
  }

  listStandIns(): HandlerStandIn[] {
    return [
      ...this.encoders,
      ...this.retrievers,
      ...this.rerankers,
      ...this.engines,
      ...this.bookings,
    ].map(({standIn}) => standIn);
  }

  /** Stops the daemons, the platform and the network without draining. */
  async stop(): Promise<void> {
    for (const {daemon} of this.instances) void daemon.stop();
    this.platform.stop();
    await this.network.close();
  }

  private async startUpstreams(): Promise<void> {
    const {encoders, retrievers, rerankers, engines, bookings} = this.options;
    const createPool =
      (stage: 'encode' | 'retrieve' | 'rerank') => (clock: Clock) =>
        new PoolStandIn(clock, {
          ...POOL_OPTIONS,
          ...this.options.poolOptions?.[stage],
        });
    await this.addUpstreams(
      this.encoders,
      'encoder',
      encoders,
      createPool('encode'),
    );
    await this.addUpstreams(
      this.retrievers,
      'retriever',
      retrievers,
      createPool('retrieve'),
    );
    await this.addUpstreams(
      this.rerankers,
      'reranker',
      rerankers,
      createPool('rerank'),
    );
    await this.addUpstreams(
      this.engines,
      'engine',
      engines,
      clock =>
        new EngineStandIn(clock, {
          ...ENGINE_OPTIONS,
          ...this.options.engineOptions,
        }),
    );
    await this.addUpstreams(
      this.bookings,
      'booking',
      bookings,
      clock =>
        new ServiceStandIn(clock, {slots: 8, serviceMs: 20, reportLagMs: 500}),
    );
  }

  private async addUpstreams<StandIn extends HandlerStandIn>(
    list: Array<LocalUpstream<StandIn>>,
    kind: string,
    count: number,
    createStandIn: (clock: Clock) => StandIn,
  ): Promise<void> {
    for (let index = 0; index < count; index++) {
      const id = `${kind}-${index + 1}`;
      const address = await this.network.reserveAddress();
      const {clock} = this.network.createEnvironment(id);
      const standIn = createStandIn(clock);
      await this.network.serve(id, address, request => standIn.handle(request));
      const failureDomain = FAILURE_DOMAINS[index % FAILURE_DOMAINS.length];
      list.push({
        upstream: {id, address, failureDomain, checksFence: true},
        standIn,
      });
    }
  }

  private async createSettings(id?: string): Promise<Settings> {
    const number = this.nextInstance++;
    const seeds = this.instances.map(
      ({settings}) => settings.listen.peerAddress,
    );
    const settings = settingsSchema.parse({
      instance: {
        id: id ?? `entry-${number}`,
        failureDomain: FAILURE_DOMAINS[(number - 1) % FAILURE_DOMAINS.length],
      },
      listen: {
        address: await this.network.reserveAddress(),
        peerAddress: await this.network.reserveAddress(),
      },
      platform: {address: this.platformAddress, timeoutMs: 1000},
      peers: {
        seeds,
        keys: [{id: 'local', secret: 'peer-secret-for-local-use'}],
      },
      operators: {keys: [OPERATOR_KEY]},
      drain: {graceMs: 200, limitMs: 30_000},
    });
    return this.options.applyToSettings?.(settings) ?? settings;
  }
}
