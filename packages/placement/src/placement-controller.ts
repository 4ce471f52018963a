import {
  createDeadlineSignal,
  RepeatingTask,
  type Clock,
} from '@hollowstack/clock';
import type {EventLogger} from '@hollowstack/logger';
import {readBody, sendJson, type HttpClient} from '@hollowstack/transport';
import type {HeldLease, PlacementLease} from './placement-lease.ts';
import {
  assemblePlacementPlan,
  type EngineState,
  type PlacementTarget,
  type PlannedOrder,
} from './placement-plan.ts';

/** One engine that may be sent orders. */
export interface ManagedEngine extends EngineState {
  readonly address: string;
  /** Whether it refuses orders with a lower fence than the last one it accepted. */
  readonly checksFence: boolean;
}

/** One pool whose models are placed by orders. */
export interface ManagedPool {
  readonly name: string;
  readonly targets: readonly PlacementTarget[];
  readonly modelsPerEngine: number;
  /** Maximum number of concurrent model loads in the pool; limits the load on the weight store. */
  readonly maxLoads: number;
  readonly engines: readonly ManagedEngine[];
}

/** Dependencies of `PlacementController`. */
export interface PlacementControllerParts {
  readonly lease: PlacementLease;
  readonly client: HttpClient;
  readonly clock: Clock;
  readonly random: () => number;
  readonly logger: EventLogger;
  /** Returns the current pools and the revision of their configuration. */
  readonly readPools: () => {
    readonly revision: number;
    readonly pools: readonly ManagedPool[];
  };
}

/** Interval between two plans; a model takes longer to load. */
const ROUND_INTERVAL_MS = 3000;
/** Timeout of an order; an order is sent only if the lease is valid for longer. */
const ORDER_TIMEOUT_MS = 1500;
/** HTTP status with which an engine confirms an order. */
const ORDER_APPLIED_STATUS = 200;

/**
 * Sends orders while this instance holds the lease. An order is sent only if its
 * timeout ends before the lease does. Engines that do not check fences get an
 * order only if a renewal was confirmed after the pools were read.
 */
export class PlacementController {
  private readonly parts: PlacementControllerParts;
  private readonly task: RepeatingTask;
  private wasHolder = false;

  constructor(parts: PlacementControllerParts) {
    this.parts = parts;
    this.task = new RepeatingTask(parts.clock, parts.random, async () => {
      await this.runRound().catch(() => {});
      return ROUND_INTERVAL_MS;
    });
  }

  /** Starts the rounds that acquire or renew the lease and send orders. */
  start(): Promise<void> {
    return this.task.start();
  }

  async stop(): Promise<void> {
    this.task.stop();
    await this.parts.lease.release();
  }

  private async runRound(): Promise<void> {
    // Without a pool to place, no store call is spent on the lease.
    if (this.parts.readPools().pools.length === 0) return;
    const held = await this.parts.lease.renew();
    this.logHolder(held);
    if (!held) return;
    const {revision, pools} = this.parts.readPools();
    const readAtMs = this.parts.clock.getNow();
    for (const pool of pools) await this.runPool(pool, revision, readAtMs);
  }

  private async runPool(
    pool: ManagedPool,
    revision: number,
    readAtMs: number,
  ): Promise<void> {
    const {orders} = assemblePlacementPlan(
      pool.targets,
      pool.engines,
      pool.modelsPerEngine,
      pool.maxLoads,
    );
    for (const order of orders) {
      const engine = pool.engines.find(({id}) => id === order.engine)!;
      const held = await this.checkLease(engine, readAtMs);
      if (!held) return;
      await this.sendOrder(engine, order, held, revision);
    }
  }

  private async checkLease(
    engine: ManagedEngine,
    readAtMs: number,
  ): Promise<HeldLease | undefined> {
    const {lease, clock} = this.parts;
    let held = lease.getValidLease();
    const isConfirmed = held !== undefined && held.renewedAtMs > readAtMs;
    if (!engine.checksFence && !isConfirmed) held = await lease.renew();
    if (!held) return undefined;
    const latestEndMs = clock.getNow() + ORDER_TIMEOUT_MS;
    return latestEndMs < held.validUntilMs ? held : undefined;
  }

  private async sendOrder(
    engine: ManagedEngine,
    order: PlannedOrder,
    held: HeldLease,
    revision: number,
  ): Promise<void> {
    const {client, clock, logger} = this.parts;
    const deadline = createDeadlineSignal(
      clock,
      ORDER_TIMEOUT_MS,
      () => new Error('engine did not answer the order in time'),
    );
    const fields = {engine: engine.id, models: order.models.join(' ')};
    try {
      const response = await sendJson(
        client,
        engine.address,
        '/orders',
        {fence: held.fence, planRevision: revision, models: order.models},
        deadline.signal,
      );
      await readBody(response.body);
      const isApplied = response.status === ORDER_APPLIED_STATUS;
      logger.logEvent(
        isApplied ? 'placement.order' : 'placement.order-failed',
        {...fields, status: response.status, fence: held.fence},
      );
    } catch (error) {
      logger.logEvent('placement.order-failed', {
        ...fields,
        reason: String(error),
      });
    } finally {
      deadline.release();
    }
  }

  private logHolder(held: HeldLease | undefined): void {
    const isHolder = held !== undefined;
    if (isHolder === this.wasHolder) return;
    this.wasHolder = isHolder;
    this.parts.logger.logEvent(
      isHolder ? 'placement.holder' : 'placement.lost',
      {fence: held?.fence},
    );
  }
}
