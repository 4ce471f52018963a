import type {Clock} from '@hollowstack/clock';
import {z} from 'zod';

/** An order to an engine. */
export const orderSchema = z.object({
  /** Fencing token of the holder that sent it. */
  fence: z.number(),
  /** Revision of the plan that the order belongs to. */
  planRevision: z.number(),
  /** Models that the engine shall hold from now on. */
  models: z.array(z.string()),
});
/** An order to an engine. */
export type Order = z.infer<typeof orderSchema>;

/** What became of an order. */
export type OrderVerdict = 'applied' | 'stale-fence';

/** How an engine takes orders. */
export interface ModelInventoryOptions {
  readonly models: readonly string[];
  readonly checksFence: boolean;
  readonly loadMs: number;
}

/** The models an engine holds, and the orders that changed them. */
export class ModelInventory {
  private readonly clock: Clock;
  private readonly options: ModelInventoryOptions;
  private readonly applied: Order[] = [];
  private models: Set<string>;
  private highestFence = 0;

  constructor(clock: Clock, options: ModelInventoryOptions) {
    this.clock = clock;
    this.options = options;
    this.models = new Set(options.models);
  }

  hasModel(model: string): boolean {
    return this.models.has(model);
  }

  listModels(): string[] {
    return [...this.models];
  }

  /** Returns the orders that were applied, the oldest first. */
  listApplied(): readonly Order[] {
    return this.applied;
  }

  /** Takes one order; a model that is new is there once it is loaded. */
  applyOrder(order: Order): OrderVerdict {
    const isStale = order.fence < this.highestFence;
    if (this.options.checksFence && isStale) return 'stale-fence';
    this.highestFence = Math.max(this.highestFence, order.fence);
    this.applied.push(order);
    const wanted = new Set(order.models);
    this.models = new Set([...this.models].filter(model => wanted.has(model)));
    for (const model of wanted) this.startLoading(model);
    return 'applied';
  }

  private startLoading(model: string): void {
    if (this.models.has(model)) return;
    this.clock.schedule(this.options.loadMs, () => {
      const isStillWanted = this.applied.at(-1)?.models.includes(model);
      if (isStillWanted) this.models.add(model);
    });
  }
}
