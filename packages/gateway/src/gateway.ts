import {waitFor, type Clock} from '@hollowstack/clock';
import type {FreshnessGuard} from '@hollowstack/freshness';
import type {EventLogger} from '@hollowstack/logger';
import type {MetricsRegistry} from '@hollowstack/metrics';
import type {LoadMeter} from '@hollowstack/overload';
import type {Membership, PeerLink} from '@hollowstack/peers';
import type {StageCoordinator} from '@hollowstack/stages';
import type {WatchHub} from '@hollowstack/store';
import type {CallerGuard} from '@hollowstack/transport';
import {splitAddress} from '@hollowstack/types';
import type {SendGranter} from '@hollowstack/upstream-limits';
import type {PathProber, TunnelServer} from '@hollowstack/upstream-paths';
import type {BackOffTable} from '@hollowstack/upstream-signals';
import {createServer, type IncomingHttpHeaders, type Server} from 'node:http';
import type {CoordinatorSearch} from './coordinator-search.ts';
import type {GossipExchange} from './gossip-exchange.ts';
import type {EvacuatedDomains} from './evacuated-domains.ts';
import type {GatewayLifecycle} from './gateway-lifecycle.ts';
import type {GatewayServer} from './gateway-server.ts';
import type {GatewaySettings} from './gateway-settings.ts';
import {OPERATOR_PATH, type OperatorEndpoint} from './operator-endpoint.ts';
import type {RouteHolder} from './route-holder.ts';
import type {StoreFollower} from './store-follower.ts';
import type {UpstreamRegistry} from './upstream-registry.ts';

/** A request of the load balancer, a metrics collector or an operator. */
interface PlainRequest {
  readonly path: string;
  readonly method: string;
  readonly headers: IncomingHttpHeaders;
}

/**
 * Background work of the coordinator. Each instance starts it once it is ready, since any of
 * them may become the coordinator.
 */
export interface CoordinatorTask {
  start(): Promise<void>;
  stop(): void;
}

/** Components and settings of a gateway. */
export interface GatewayParts {
  readonly settings: GatewaySettings;
  readonly clock: Clock;
  readonly logger: EventLogger;
  readonly metrics: MetricsRegistry;
  readonly lifecycle: GatewayLifecycle;
  readonly loadMeter: LoadMeter;
  readonly routeHolder: RouteHolder;
  readonly watchHub: WatchHub;
  readonly followers: readonly StoreFollower[];
  readonly freshnessGuard: FreshnessGuard;
  readonly membership: Membership;
  readonly link: PeerLink;
  readonly exchange: GossipExchange;
  readonly coordinatorSearch: CoordinatorSearch;
  readonly prober: PathProber;
  readonly tunnelServer: TunnelServer;
  readonly registry: UpstreamRegistry;
  readonly evacuated: EvacuatedDomains;
  readonly backOffs: BackOffTable;
  readonly granter: SendGranter;
  readonly coordinator: StageCoordinator;
  readonly coordinatorTasks: readonly CoordinatorTask[];
  readonly server: GatewayServer;
  readonly callerGuard: CallerGuard;
  readonly operatorEndpoint: OperatorEndpoint;
  readonly probePath: string;
}

/** Milliseconds between two checks whether the start is complete. */
const START_POLL_MS = 20;
/**
 * Milliseconds that a start waits for the coordinator search after routes and upstreams are
 * loaded; most of the time-out of a ping, which a coordinator that has just started may need.
 */
const COORDINATOR_SEARCH_TIMEOUT_MS = 300;
/** Milliseconds until the load balancer stops sending; it needs two failed probes. */
const BALANCER_LAG_MS = 2600;
/** Milliseconds between two checks whether a planned stop is complete. */
const DRAIN_POLL_MS = 50;
/** Milliseconds of the time for a planned stop that are reserved for the process to exit. */
const DRAIN_MARGIN_MS = 1000;
/**
 * Milliseconds before the end of a planned stop at which requests that were sent to no
 * upstream are rejected instead of cut off; suffices to send the rejections.
 */
const REJECTION_MARGIN_MS = 500;
/** Delay of the event loop, in milliseconds, from which the process counts as paused. */
const MIN_PAUSE_MS = 1000;

/** An instance that serves routed requests. */
export class Gateway {
  private readonly parts: GatewayParts;
  private readonly plainServers: Server[] = [];
  private isStopped = false;

  constructor(parts: GatewayParts) {
    this.parts = parts;
  }

  /** Starts all components and resolves once a configuration and the upstreams are loaded. */
  async start(): Promise<void> {
    const {parts} = this;
    const {settings, logger, clock, lifecycle} = parts;
    logger.logEvent('entry.starting', {
      failureDomain: settings.instance.failureDomain,
    });
    await parts.link.listen(settings.listen.peerAddress);
    await parts.tunnelServer.listen(this.getTunnelAddress());
    await this.listenForProbesAndMetrics();
    await parts.server.listen(settings.listen.address);
    void parts.watchHub.start();
    void parts.membership.start();
    void parts.exchange.start();
    void parts.coordinatorSearch.start();
    this.startPauseDetection();
    parts.loadMeter.start();
    const isEnding = () => this.isStopped || lifecycle.isStopping();
    // With routes but without upstreams, every request would be rejected.
    const isLoaded = () =>
      parts.routeHolder.getCurrent() !== undefined && parts.registry.isLoaded();
    while (!isLoaded() && !isEnding()) {
      await waitFor(clock, START_POLL_MS);
    }
    const loadedAtMs = clock.getNow();
    while (!parts.coordinatorSearch.isSettled() && !isEnding()) {
      if (clock.getNow() - loadedAtMs >= COORDINATOR_SEARCH_TIMEOUT_MS) break;
      await waitFor(clock, START_POLL_MS);
    }
    if (isEnding()) return;
    // Not earlier: until the coordinator search has settled, each instance regards itself as
    // the coordinator.
    for (const task of parts.coordinatorTasks) void task.start();
    lifecycle.setState('ready');
    logger.logEvent('entry.ready', {revision: parts.routeHolder.getRevision()});
  }

  /**
   * Stops without cutting off requests: readiness probes fail at once, the membership no
   * longer lists this instance, requests are served while the load balancer still sends
   * them, and requests in progress are completed within `drain.limitSeconds`.
   */
  async drain(): Promise<void> {
    const {clock, logger, lifecycle, membership, coordinator, server} =
      this.parts;
    const {tunnelServer} = this.parts;
    const startedAtMs = clock.getNow();
    const {limitSeconds} = this.parts.settings.drain;
    const limitMs = limitSeconds * 1000 - DRAIN_MARGIN_MS;
    lifecycle.setState('draining');
    lifecycle.closeConnectionsAfterAnswers();
    logger.logEvent('entry.draining', {
      inProgress: lifecycle.countInProgress(),
    });
    void membership.stop();
    const isOver = () => {
      const passedMs = clock.getNow() - startedAtMs;
      if (passedMs >= limitMs) return true;
      const isIdle =
        lifecycle.countInProgress() === 0 &&
        coordinator.getWaitingCount() === 0 &&
        tunnelServer.countTunnels() === 0;
      return isIdle && passedMs >= BALANCER_LAG_MS;
    };
    while (!isOver()) {
      await waitFor(clock, DRAIN_POLL_MS);
      if (clock.getNow() - startedAtMs < BALANCER_LAG_MS) continue;
      // A load balancer that has few other instances keeps sending requests here. They would
      // not be complete in time, so they are rejected.
      lifecycle.setState('closing');
      server.closeIdleConnections();
      const passedMs = clock.getNow() - startedAtMs;
      if (passedMs >= limitMs - REJECTION_MARGIN_MS) lifecycle.rejectUnsent();
    }
    const inProgress = lifecycle.countInProgress();
    if (inProgress > 0) logger.logEvent('entry.drain-late', {inProgress});
    this.stop();
  }

  /** Stops every component at once and closes all connections. */
  stop(): void {
    const {parts} = this;
    this.isStopped = true;
    parts.loadMeter.stop();
    void parts.membership.stop();
    parts.exchange.stop();
    parts.freshnessGuard.stop();
    parts.coordinatorSearch.stop();
    parts.registry.stop();
    parts.evacuated.stop();
    parts.backOffs.stop();
    parts.granter.stop();
    parts.watchHub.stop();
    for (const follower of parts.followers) follower.stop();
    parts.coordinator.stop();
    for (const task of parts.coordinatorTasks) task.stop();
    parts.prober.stop();
    parts.tunnelServer.close();
    parts.link.close();
    parts.lifecycle.closeBegunAnswers();
    parts.server.close();
    for (const probe of this.plainServers) {
      probe.close();
      probe.closeAllConnections();
    }
    parts.logger.logEvent('entry.stopped');
  }

  private getTunnelAddress(): string {
    const {peerAddress, tunnelAddress} = this.parts.settings.listen;
    return tunnelAddress ?? `${splitAddress(peerAddress).host}:0`;
  }

  private async listenForProbesAndMetrics(): Promise<void> {
    const {settings, lifecycle, metrics, operatorEndpoint, probePath} =
      this.parts;
    await this.listenPlain(settings.listen.probeAddress, ({path}) => {
      if (path !== probePath) return {status: 404, text: ''};
      return {status: lifecycle.isReady() ? 200 : 503, text: ''};
    });
    if (settings.listen.metricsAddress === undefined) return;
    const {metricsAddress} = settings.listen;
    await this.listenPlain(metricsAddress, ({path, method, headers}) => {
      if (path === '/metrics') {
        return {status: 200, text: metrics.renderPrometheusText()};
      }
      if (!path.startsWith(OPERATOR_PATH)) return {status: 404, text: ''};
      const {authorization} = headers;
      return operatorEndpoint.answerCall({method, path, authorization});
    });
  }

  private listenPlain(
    address: string,
    answer: (request: PlainRequest) => {status: number; text: string},
  ): Promise<void> {
    const {host, port} = splitAddress(address);
    const {callerGuard} = this.parts;
    const server = createServer((incoming, outgoing) => {
      if (!callerGuard.recordRequest(incoming, outgoing)) return;
      const {url: path = '/', method = 'GET', headers} = incoming;
      const {status, text} = answer({path, method, headers});
      outgoing.writeHead(status, {'content-type': 'text/plain'});
      outgoing.end(text);
    });
    callerGuard.addServer(server);
    this.plainServers.push(server);
    return new Promise((resolve, reject) => {
      server.once('error', reject);
      server.listen(port, host, () => resolve());
    });
  }

  // After a pause, waiting stage jobs have meanwhile been submitted to another coordinator,
  // and the view of the store is as old as the pause.
  private startPauseDetection(): void {
    const {coordinator, logger, freshnessGuard, loadMeter} = this.parts;
    loadMeter.addListener(pausedMs => {
      if (pausedMs <= MIN_PAUSE_MS) return;
      logger.logEvent('entry.paused', {pausedMs: Math.round(pausedMs)});
      coordinator.failAllJobs('the coordinator stood still');
      void freshnessGuard.refresh();
    });
  }
}
