import type {Clock} from '@hollowstack/clock';
import type {EventLogger} from '@hollowstack/logger';
import {
  DEFAULT_HEALTH_POLICY,
  chooseSubset,
  type HealthPolicy,
} from '@hollowstack/routing';
import type {Pool, Service} from '@hollowstack/types';
import type {GroupSettings} from './group-settings.ts';
import {UpstreamGroup} from './upstream-group.ts';

/** What the directory needs beside the configuration. */
export interface GroupDirectoryOptions {
  readonly instanceId: string;
  /** Maximum number of upstreams of one pool or service that this instance uses. */
  readonly subsetSize: number;
  /** Returns the number of live instances, including this one. */
  readonly getInstanceCount: () => number;
  readonly healthPolicy?: HealthPolicy;
  /** Whether concurrency limits adapt to the observed load. */
  readonly adaptLimits: boolean;
}

/**
 * The upstream groups of all pools and services, by name. A group keeps its
 * state when the configuration changes.
 */
export class GroupDirectory {
  private readonly clock: Clock;
  private readonly logger: EventLogger;
  private readonly options: GroupDirectoryOptions;
  private readonly pools = new Map<string, UpstreamGroup>();
  private readonly services = new Map<string, UpstreamGroup>();

  constructor(
    clock: Clock,
    logger: EventLogger,
    options: GroupDirectoryOptions,
  ) {
    this.clock = clock;
    this.logger = logger;
    this.options = options;
  }

  /** Applies the pools and services of a newer configuration; drops groups that it lacks. */
  setConfiguration(pools: readonly Pool[], services: readonly Service[]): void {
    this.setGroups(this.pools, pools.map(createPoolSettings));
    this.setGroups(this.services, services.map(createServiceSettings));
  }

  getPool(name: string): UpstreamGroup | undefined {
    return this.pools.get(name);
  }

  getService(name: string): UpstreamGroup | undefined {
    return this.services.get(name);
  }

  listPools(): UpstreamGroup[] {
    return [...this.pools.values()];
  }

  listGroups(): UpstreamGroup[] {
    return [...this.pools.values(), ...this.services.values()];
  }

  private setGroups(
    groups: Map<string, UpstreamGroup>,
    wanted: readonly GroupSettings[],
  ): void {
    const names = new Set(wanted.map(({name}) => name));
    for (const name of groups.keys()) {
      if (!names.has(name)) groups.delete(name);
    }
    for (const settings of wanted) this.setGroup(groups, settings);
  }

  private setGroup(
    groups: Map<string, UpstreamGroup>,
    settings: GroupSettings,
  ): void {
    const {instanceId, subsetSize, getInstanceCount} = this.options;
    const policy = this.options.healthPolicy ?? DEFAULT_HEALTH_POLICY;
    const upstreams = chooseSubset(instanceId, settings.upstreams, subsetSize);
    const subsetSettings = {...settings, upstreams};
    const existing = groups.get(settings.name);
    if (existing) {
      existing.setSettings(subsetSettings, getInstanceCount());
      return;
    }
    groups.set(
      settings.name,
      new UpstreamGroup(
        subsetSettings,
        getInstanceCount(),
        this.clock,
        this.logger,
        {
          healthPolicy: policy,
          adaptLimits: this.options.adaptLimits,
        },
      ),
    );
  }
}

function createPoolSettings(pool: Pool): GroupSettings {
  return {
    name: pool.name,
    upstreams: pool.upstreams,
    slots: pool.concurrencyPerUpstream,
    expectedMs: pool.expectedMs,
    silenceMs: pool.silenceMs,
  };
}

function createServiceSettings(service: Service): GroupSettings {
  return {
    name: service.name,
    upstreams: service.upstreams,
    slots: service.concurrencyPerUpstream,
    expectedMs: service.expectedMs,
    silenceMs: service.deadlineMs,
  };
}
