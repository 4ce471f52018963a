import type {
  KeyedWorkspace,
  Route,
  RoutedConfiguration,
  RoutedService,
} from './routed-configuration.ts';

/** A routed configuration, indexed for the look-ups of each request. */
export class RouteTable {
  readonly configuration: RoutedConfiguration;
  private readonly routesByHost = new Map<string, Route[]>();
  private readonly services: ReadonlyMap<string, RoutedService>;
  private readonly workspacesByKey = new Map<string, KeyedWorkspace>();

  constructor(configuration: RoutedConfiguration) {
    this.configuration = configuration;
    this.services = new Map(
      configuration.services.map(service => [service.name, service]),
    );
    for (const route of configuration.routes) this.addRoute(route);
    for (const routes of this.routesByHost.values()) {
      routes.sort((left, right) => comparePrefixes(left, right));
    }
    for (const workspace of configuration.workspaces ?? []) {
      for (const key of workspace.keys) {
        this.workspacesByKey.set(key, workspace);
      }
    }
  }

  get revision(): number {
    return this.configuration.revision;
  }

  /** Finds the route of a host with the longest prefix of the path; host names are case-insensitive. */
  findRoute(host: string, path: string): Route | undefined {
    const routes = this.routesByHost.get(host.toLowerCase());
    return routes?.find(route => path.startsWith(route.pathPrefix));
  }

  /** Finds the workspace that a key belongs to. */
  findWorkspace(key: string): KeyedWorkspace | undefined {
    return this.workspacesByKey.get(key);
  }

  /** Returns whether callers must present a key. */
  hasWorkspaces(): boolean {
    return this.configuration.workspaces !== undefined;
  }

  getService(name: string): RoutedService | undefined {
    return this.services.get(name);
  }

  private addRoute(route: Route): void {
    const host = route.host.toLowerCase();
    const routes = this.routesByHost.get(host);
    if (routes) routes.push(route);
    else this.routesByHost.set(host, [route]);
  }
}

/**
 * Chooses the service of a request by the weights of its route's targets.
 *
 * @param draw Random number from 0 to below 1.
 */
export function chooseTarget(route: Route, draw: number): string {
  const total = route.targets.reduce((sum, {weight}) => sum + weight, 0);
  let rest = draw * total;
  for (const {service, weight} of route.targets) {
    rest -= weight;
    if (rest < 0) return service;
  }
  return route.targets[route.targets.length - 1].service;
}

/** Returns whether a request of the route may run a second time. */
export function isRepeatable(route: Route): boolean {
  if (route.repeatability === 'repeatable') return true;
  return route.repeatability === 'stream' && route.isResumable;
}

function comparePrefixes(left: Route, right: Route): number {
  return right.pathPrefix.length - left.pathPrefix.length;
}
