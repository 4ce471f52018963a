import {waitFor, type Clock} from '@hollowstack/clock';
import type {ClaimedCalls} from '@hollowstack/claims';
import type {
  ConfigurationFollower,
  ConfigurationHolder,
} from '@hollowstack/config-log';
import type {EventLogger} from '@hollowstack/logger';
import type {
  KeyRing,
  Membership,
  PeerLink,
  PeerNetwork,
  RevisionGossip,
  ShareClient,
} from '@hollowstack/peers';
import type {LoadPoller} from '@hollowstack/pipeline';
import type {PlacementController} from '@hollowstack/placement';
import type {InstanceList, WatchHub} from '@hollowstack/store';
import type {
  HttpClient,
  HttpRequest,
  HttpResponse,
} from '@hollowstack/transport';
import type {RequestDispatcher} from './request-dispatcher.ts';
import type {Lifecycle} from './lifecycle.ts';
import type {PauseGuard} from './pause-guard.ts';
import type {Settings} from './settings.ts';

/** Clock, network, log and randomness of a daemon; tests pass their own. */
export interface DaemonEnvironment {
  readonly clock: Clock;
  /** Client for calls to upstreams and to the platform. */
  readonly client: HttpClient;
  readonly peerNetwork: PeerNetwork;
  readonly logger: EventLogger;
  /** Returns a number from 0 up to, but not including, 1. */
  readonly random: () => number;
}

/** The parts of a daemon. */
export interface DaemonParts {
  readonly settings: Settings;
  readonly environment: DaemonEnvironment;
  readonly lifecycle: Lifecycle;
  readonly holder: ConfigurationHolder;
  readonly follower: ConfigurationFollower;
  readonly watchHub: WatchHub;
  readonly instanceList: InstanceList;
  readonly membership: Membership;
  readonly link: PeerLink;
  readonly keys: KeyRing;
  readonly revisionGossip: RevisionGossip;
  readonly shares: ShareClient;
  readonly poller: LoadPoller;
  readonly pauseGuard: PauseGuard;
  readonly placement: PlacementController;
  readonly claimedCalls: ClaimedCalls;
  readonly dispatcher: RequestDispatcher;
}

/** Milliseconds between two checks whether a configuration is in force. */
const START_POLL_MS = 50;

/** One instance of the system. */
export class Daemon {
  readonly parts: DaemonParts;

  constructor(parts: DaemonParts) {
    this.parts = parts;
  }

  /** Answers a request of a caller, operator or probe. */
  handle(request: HttpRequest): Promise<HttpResponse> {
    return this.parts.dispatcher.handle(request);
  }

  /** Starts all parts and resolves once a configuration is in force or the daemon is stopped. */
  async start(): Promise<void> {
    const {parts} = this;
    const {clock, logger} = parts.environment;
    logger.logEvent('entry.starting', {
      failureDomain: parts.settings.instance.failureDomain,
    });
    // Asks the peers before the store is read: after a restore of the store
    // from a backup, only the peers know the newest revision.
    await parts.membership.refresh();
    await parts.revisionGossip.runRound();
    void parts.watchHub.start();
    void parts.follower.start();
    void parts.instanceList.start();
    void parts.membership.start();
    void parts.revisionGossip.start();
    void parts.shares.start();
    void parts.poller.start();
    parts.pauseGuard.start();
    void parts.placement.start();
    while (!parts.holder.getCurrent()) {
      if (parts.lifecycle.getState() !== 'starting') return;
      await waitFor(clock, START_POLL_MS);
    }
    if (parts.lifecycle.getState() !== 'starting') return;
    parts.lifecycle.setState('ready');
    logger.logEvent('entry.ready', {revision: parts.holder.getRevision()});
  }

  /**
   * Stops gracefully: readiness fails at once, new requests are served for the
   * grace period in which the load balancer may still send them, and requests in
   * progress may finish.
   *
   * @returns Whether every request ended within the time limit of the settings.
   */
  async drain(): Promise<boolean> {
    const {environment, lifecycle, settings, claimedCalls} = this.parts;
    const {clock, logger} = environment;
    lifecycle.setState('draining');
    logger.logEvent('entry.draining', {
      inProgress: lifecycle.countInProgress(),
    });
    await waitFor(clock, settings.drain.graceMs);
    lifecycle.setState('closing');
    const requestsEnded = lifecycle
      .waitForIdle()
      .then(() => claimedCalls.waitForRecording())
      .then(() => true);
    const limitTimer = new AbortController();
    const limitReached = waitFor(
      clock,
      settings.drain.limitMs,
      limitTimer.signal,
    ).then(
      () => false,
      () => true,
    );
    const isClean = await Promise.race([requestsEnded, limitReached]);
    // A pending timer would keep the process alive until it fires.
    limitTimer.abort(new Error('drained'));
    if (!isClean) {
      logger.logEvent('entry.drain-late', {
        inProgress: lifecycle.countInProgress(),
      });
    }
    await this.stop();
    return isClean;
  }

  /** Stops every part without waiting for requests in progress. */
  async stop(): Promise<void> {
    const {parts} = this;
    parts.lifecycle.setState('closing');
    parts.poller.stop();
    parts.pauseGuard.stop();
    parts.shares.stop();
    parts.revisionGossip.stop();
    parts.instanceList.stop();
    parts.follower.stop();
    parts.watchHub.stop();
    parts.link.close();
    await parts.placement.stop();
    await parts.membership.stop();
    parts.environment.logger.logEvent('entry.stopped');
  }
}
