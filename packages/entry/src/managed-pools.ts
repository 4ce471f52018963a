import type {Configuration} from '@hollowstack/config-log';
import type {ManagedEngine, ManagedPool} from '@hollowstack/placement';
import type {GroupDirectory, UpstreamStatus} from '@hollowstack/pipeline';
import type {Pool} from '@hollowstack/types';

/**
 * Lists the pools whose configuration has a placement, with their engines. Omits
 * a pool if this instance uses only a subset of its engines or has no load
 * report from one of them, since models would then be placed on only some of the
 * engines.
 */
export function listManagedPools(
  configuration: Configuration | undefined,
  groups: GroupDirectory,
): ManagedPool[] {
  const pools = configuration?.listPools() ?? [];
  return pools
    .map(pool => createManagedPool(pool, groups))
    .filter(pool => pool !== undefined);
}

function createManagedPool(
  pool: Pool,
  groups: GroupDirectory,
): ManagedPool | undefined {
  const statuses = groups.getPool(pool.name)?.listStatuses() ?? [];
  const hasAllEngines = statuses.length === pool.upstreams.length;
  const haveAllReported = statuses.every(({models}) => models !== undefined);
  if (!pool.placement || !hasAllEngines || !haveAllReported) return undefined;
  return {
    name: pool.name,
    ...pool.placement,
    engines: statuses.map(status => createManagedEngine(pool, status)),
  };
}

function createManagedEngine(
  pool: Pool,
  status: UpstreamStatus,
): ManagedEngine {
  const upstream = pool.upstreams.find(({id}) => id === status.id);
  return {
    id: status.id,
    address: status.address,
    failureDomain: status.failureDomain,
    isUsable: status.state === 'healthy',
    models: status.models ?? [],
    checksFence: upstream?.checksFence ?? false,
  };
}
