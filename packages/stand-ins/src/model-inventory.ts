import type {Clock} from '@hollowstack/clock';
import {z} from 'zod';

/** A placement order to an engine. */
export const orderSchema = z.object({
  /** Fencing token of the lease holder that sent the order. */
  fence: z.number(),
  /** Revision of the placement plan. */
  planRevision: z.number(),
  /** Models that the engine must have loaded; it unloads all others. */
  models: z.array(z.string()),
});
/** A placement order to an engine. */
export type Order = z.infer<typeof orderSchema>;

/** Outcome of an order: applied, or rejected for a fence below the highest one seen. */
export type OrderVerdict = 'applied' | 'stale-fence';

/** Initial models of an engine, and how it applies orders. */
export interface ModelInventoryOptions {
  readonly models: readonly string[];
  readonly checksFence: boolean;
  readonly loadMs: number;
}

/** The models that an engine has loaded, and the orders that it has applied. */
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

  /** Applies an order: unloads other models at once and loads missing ones after `loadMs`. */
  applyOrder(order: Order): OrderVerdict {
    const isStale = order.fence < this.highestFence;
    if (this.options.checksFence && isStale) return 'stale-fence';
    this.highestFence = Math.max(this.highestFence, order.fence);
    this.applied.push(order);
    const orderedModels = new Set(order.models);
    this.models = new Set(
      [...this.models].filter(model => orderedModels.has(model)),
    );
    for (const model of orderedModels) this.startLoading(model);
    return 'applied';
  }

  private startLoading(model: string): void {
    if (this.models.has(model)) return;
    this.clock.schedule(this.options.loadMs, () => {
      const isStillOrdered = this.applied.at(-1)?.models.includes(model);
      if (isStillOrdered) this.models.add(model);
    });
  }
}
