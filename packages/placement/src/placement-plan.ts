import {listByRendezvous} from '@hollowstack/routing';

/** Number of engines in a pool that should have a model loaded. */
export interface PlacementTarget {
  readonly model: string;
  readonly copies: number;
}

/** State of one engine at the time of the plan. */
export interface EngineState {
  readonly id: string;
  readonly failureDomain: string;
  /** Whether it accepts work; an order to an unusable engine would be lost. */
  readonly isUsable: boolean;
  /** Models that it reports as loaded. */
  readonly models: readonly string[];
}

/** The complete set of models that one engine should have loaded, not a change to it. */
export interface PlannedOrder {
  readonly engine: string;
  readonly models: readonly string[];
  /** Those of `models` that it has yet to load. */
  readonly loads: readonly string[];
}

/** Orders to send; assembling a plan sends nothing. */
export interface PlacementPlan {
  readonly orders: readonly PlannedOrder[];
  /** Number of loads postponed because of `maxLoads`. */
  readonly postponedLoads: number;
}

/**
 * Assembles the orders that bring a pool to its targets. Engines that have a
 * model loaded keep it. Missing copies go to the engines with the fewest models,
 * spread over failure domains. Copies beyond the target are unloaded once enough
 * usable engines have the model.
 *
 * @param modelsPerEngine Maximum number of models that one engine can have loaded.
 * @param maxLoads Maximum number of loads to start now.
 */
export function assemblePlacementPlan(
  targets: readonly PlacementTarget[],
  engines: readonly EngineState[],
  modelsPerEngine: number,
  maxLoads: number,
): PlacementPlan {
  const usable = engines.filter(({isUsable}) => isUsable);
  const wanted = new Map(usable.map(({id}) => [id, new Set<string>()]));
  for (const target of targets) {
    addLoadedCopies(target, usable, wanted, modelsPerEngine);
  }
  for (const target of targets) {
    addCopies(target, usable, wanted, modelsPerEngine);
  }
  return createOrders(usable, wanted, maxLoads);
}

function addLoadedCopies(
  {model, copies}: PlacementTarget,
  usable: readonly EngineState[],
  wanted: ReadonlyMap<string, Set<string>>,
  modelsPerEngine: number,
): void {
  const loadedEngines = usable
    .filter(({models}) => models.includes(model))
    .map(({id}) => id);
  // Ranked by the model's name, so that every lease holder chooses the same engines.
  for (const id of listByRendezvous(model, loadedEngines).slice(0, copies)) {
    const models = wanted.get(id)!;
    if (models.size < modelsPerEngine) models.add(model);
  }
}

function addCopies(
  {model, copies}: PlacementTarget,
  usable: readonly EngineState[],
  wanted: ReadonlyMap<string, Set<string>>,
  modelsPerEngine: number,
): void {
  const countCopies = () =>
    usable.filter(({id}) => wanted.get(id)!.has(model)).length;
  while (countCopies() < copies) {
    const next = chooseEngine(model, usable, wanted, modelsPerEngine);
    if (!next) return;
    wanted.get(next)!.add(model);
  }
}

function chooseEngine(
  model: string,
  usable: readonly EngineState[],
  wanted: ReadonlyMap<string, Set<string>>,
  modelsPerEngine: number,
): string | undefined {
  const countInDomain = (failureDomain: string) =>
    usable.filter(
      engine =>
        engine.failureDomain === failureDomain &&
        wanted.get(engine.id)!.has(model),
    ).length;
  const free = usable.filter(({id}) => {
    const models = wanted.get(id)!;
    return !models.has(model) && models.size < modelsPerEngine;
  });
  const ranked = listByRendezvous(
    model,
    free.map(({id}) => id),
  );
  const compare = (left: EngineState, right: EngineState) =>
    countInDomain(left.failureDomain) - countInDomain(right.failureDomain) ||
    wanted.get(left.id)!.size - wanted.get(right.id)!.size ||
    ranked.indexOf(left.id) - ranked.indexOf(right.id);
  return free.sort(compare).at(0)?.id;
}

function createOrders(
  usable: readonly EngineState[],
  wanted: ReadonlyMap<string, Set<string>>,
  maxLoads: number,
): PlacementPlan {
  const orders: PlannedOrder[] = [];
  let loadsLeft = maxLoads;
  let postponedLoads = 0;
  for (const {id, models} of usable) {
    const target = [...wanted.get(id)!].sort();
    const missing = target.filter(model => !models.includes(model));
    const loads = missing.slice(0, Math.max(0, loadsLeft));
    loadsLeft -= loads.length;
    postponedLoads += missing.length - loads.length;
    // While a load is postponed, the engine keeps its current models.
    const isPostponed = loads.length < missing.length;
    const next = isPostponed
      ? [...new Set([...models, ...loads])].sort()
      : target;
    const isUnchanged = [...models].sort().join() === next.join();
    if (!isUnchanged) orders.push({engine: id, models: next, loads});
  }
  return {orders, postponedLoads};
}
