import type {EngineDirectory} from '@hollowstack/assignment';
import type {FreshnessGuard} from '@hollowstack/freshness';
import type {
  PeerNotification,
  PeerReply,
  PeerRequest,
} from '@hollowstack/peers';
import type {StageCoordinator, StageDispatcher} from '@hollowstack/stages';
import type {RelayServer} from '@hollowstack/store-relay';
import type {PartTrials} from '@hollowstack/quarantine';
import type {StreamOrigins} from '@hollowstack/stream-origins';
import type {LimitTable, SendGranter} from '@hollowstack/upstream-limits';
import type {TunnelServer} from '@hollowstack/upstream-paths';
import {match} from 'ts-pattern';
import type {GossipExchange} from './gossip-exchange.ts';
import type {CachedPromptsReader} from './cached-prompts-reader.ts';
import type {GatewayLifecycle} from './gateway-lifecycle.ts';

/** Dependencies of GatewayPeerRequestHandler. */
export interface GatewayPeerRequestHandlerParts {
  readonly coordinator: StageCoordinator;
  readonly dispatcher: Pick<
    StageDispatcher,
    'answerJob' | 'answerAdmission' | 'cancelPeerJob'
  >;
  readonly directory: EngineDirectory;
  readonly cachedPrompts: CachedPromptsReader;
  readonly exchange: GossipExchange;
  readonly lifecycle: GatewayLifecycle;
  readonly relay: RelayServer;
  readonly limits: Pick<LimitTable, 'applyReports'>;
  readonly granter: Pick<SendGranter, 'acquireGrant'>;
  readonly freshnessGuard: FreshnessGuard;
  readonly tunnelServer: Pick<TunnelServer, 'openTunnel'>;
  readonly trials: Pick<PartTrials, 'grantTrial'>;
  readonly streamOrigins: Pick<
    StreamOrigins,
    'recordReported' | 'answerQuestion'
  >;
}

/** Types of requests whose answers depend on the view of the store. */
const STORE_VIEW_REQUESTS: ReadonlySet<PeerRequest['type']> = new Set([
  'stage-job',
  'stage-admit',
  'assign',
  'limited-send',
]);

const STOPPING: PeerReply = {
  type: 'failed',
  message: 'this instance is stopping',
};

/** Answers requests and applies notifications of peers. */
export class GatewayPeerRequestHandler {
  private readonly parts: GatewayPeerRequestHandlerParts;

  constructor(parts: GatewayPeerRequestHandlerParts) {
    this.parts = parts;
  }

  /** @param peer Id of the peer that sent the request. */
  async answerRequest(request: PeerRequest, peer: string): Promise<PeerReply> {
    const {dispatcher, directory, exchange, cachedPrompts, lifecycle, relay} =
      this.parts;
    const {freshnessGuard} = this.parts;
    if (
      STORE_VIEW_REQUESTS.has(request.type) &&
      freshnessGuard.isRefreshDue()
    ) {
      await freshnessGuard.refresh();
    }
    return match<PeerRequest, Promise<PeerReply> | PeerReply>(request)
      .with({type: 'ping'}, () => {
        if (lifecycle.isStopping()) return STOPPING;
        return {type: 'done'};
      })
      .with({type: 'stage-job'}, ({job}) => {
        if (lifecycle.isStopping()) return STOPPING;
        return dispatcher.answerJob(job);
      })
      .with({type: 'stage-admit'}, ({request: asked}) => {
        if (lifecycle.isStopping()) return STOPPING;
        return dispatcher.answerAdmission(asked);
      })
      .with({type: 'stage-cancel'}, ({jobId}) => {
        dispatcher.cancelPeerJob(jobId);
        return {type: 'done'};
      })
      .with({type: 'assign'}, ({request}) => {
        if (lifecycle.isStopping()) {
          return STOPPING;
        }
        cachedPrompts.readCachedPrompts(request.service);
        const choice = directory.reserveEngine(request);
        return {
          type: 'assigned',
          upstreamId: choice?.id,
          failureDomain: choice?.failureDomain,
        };
      })
      .with({type: 'limited-send'}, async ({ask, limits}) => {
        if (lifecycle.isStopping()) return STOPPING;
        this.parts.limits.applyReports(limits, 'grant-request');
        const decision = await this.parts.granter.acquireGrant(ask);
        return {type: 'limited-send', decision};
      })
      .with({type: 'open-tunnel'}, asked => {
        if (lifecycle.isStopping()) return STOPPING;
        return this.parts.tunnelServer.openTunnel(asked, peer);
      })
      .with({type: 'stream-began'}, ({origin}) => {
        this.parts.streamOrigins.recordReported(origin);
        return {type: 'done'};
      })
      .with({type: 'stream-origin'}, ({key, service}) =>
        this.parts.streamOrigins.answerQuestion(key, service),
      )
      .with({type: 'part-trial'}, ({key}) => ({
        type: 'part-trial',
        isGranted: this.parts.trials.grantTrial(key),
      }))
      .with({type: 'notes'}, ({notes}) => {
        for (const notification of notes) this.applyNotification(notification);
        return {type: 'done'};
      })
      .with({type: 'copy'}, asked => exchange.answerCopy(asked))
      .with({type: 'relay-watch'}, asked => {
        if (lifecycle.isStopping()) return STOPPING;
        return relay.answerWatch(asked);
      })
      .with({type: 'relay-read'}, asked => {
        if (lifecycle.isStopping()) return STOPPING;
        return relay.answerRead(asked);
      })
      .otherwise(({type}) => ({
        type: 'failed',
        message: `a gateway does not answer ${type}`,
      }));
  }

  private applyNotification(notification: PeerNotification): void {
    const {coordinator, directory} = this.parts;
    match<PeerNotification, void>(notification)
      .with({type: 'stage-end'}, ({requestId, firstMs}) =>
        coordinator.endRequest(requestId, firstMs),
      )
      .with({type: 'stage-release'}, ({results}) =>
        coordinator.releaseResults(results),
      )
      .with({type: 'assignment-progress'}, ({progress}) => {
        directory.recordProgress(progress);
      })
      .exhaustive();
  }
}
