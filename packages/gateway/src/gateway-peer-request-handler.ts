import type {EngineDirectory} from '@hollowstack/assignment';
import type {FreshnessGuard} from '@hollowstack/freshness';
import type {PeerNote, PeerReply, PeerRequest} from '@hollowstack/peers';
import type {StageCoordinator} from '@hollowstack/stages';
import type {RelayServer} from '@hollowstack/store-relay';
import type {LimitTable, SendGranter} from '@hollowstack/upstream-limits';
import {match} from 'ts-pattern';
import type {CopyExchange} from './copy-exchange.ts';
import type {KeptPromptsReader} from './kept-prompts-reader.ts';
import type {GatewayLifecycle} from './gateway-lifecycle.ts';

/** What answers to peers are made from. */
export interface GatewayPeerParts {
  readonly coordinator: StageCoordinator;
  readonly directory: EngineDirectory;
  readonly keptPrompts: KeptPromptsReader;
  readonly exchange: CopyExchange;
  readonly lifecycle: GatewayLifecycle;
  readonly relay: RelayServer;
  readonly limits: Pick<LimitTable, 'applyReports'>;
  readonly granter: Pick<SendGranter, 'acquireGrant'>;
  readonly freshnessGuard: FreshnessGuard;
}

/** Questions that are decided by the view of the store. */
const DECIDED_BY_VIEW: ReadonlySet<PeerRequest['type']> = new Set([
  'stage-job',
  'stage-admit',
  'assign',
  'limited-send',
]);

const STOPPING: PeerReply = {
  type: 'failed',
  message: 'this instance is stopping',
};

/** Answers what peers ask of a gateway. */
export class GatewayPeerRequests {
  private readonly parts: GatewayPeerParts;

  constructor(parts: GatewayPeerParts) {
    this.parts = parts;
  }

  async answerRequest(request: PeerRequest): Promise<PeerReply> {
    const {coordinator, directory, exchange, keptPrompts, lifecycle, relay} =
      this.parts;
    const {freshnessGuard} = this.parts;
    if (DECIDED_BY_VIEW.has(request.type) && freshnessGuard.isRefreshDue()) {
      await freshnessGuard.refresh();
    }
    return match<PeerRequest, Promise<PeerReply> | PeerReply>(request)
      .with({type: 'ping'}, () => {
        if (lifecycle.isStopping()) return STOPPING;
        return {type: 'done'};
      })
      .with({type: 'stage-job'}, async ({job}) => {
        if (lifecycle.isStopping()) {
          return STOPPING;
        }
        const outcome = await coordinator.runJob(job);
        return {type: 'stage-outcome', outcome};
      })
      .with({type: 'stage-admit'}, ({request: asked}) => {
        if (lifecycle.isStopping()) {
          return STOPPING;
        }
        return {type: 'stage-admission', ...coordinator.admitRequest(asked)};
      })
      .with({type: 'stage-cancel'}, ({jobId}) => {
        coordinator.cancelJob(jobId);
        return {type: 'done'};
      })
      .with({type: 'assign'}, ({request}) => {
        if (lifecycle.isStopping()) {
          return STOPPING;
        }
        keptPrompts.readService(request.service);
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
      .with({type: 'notes'}, ({notes}) => {
        for (const note of notes) this.applyNote(note);
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

  private applyNote(note: PeerNote): void {
    const {coordinator, directory} = this.parts;
    match<PeerNote, void>(note)
      .with({type: 'stage-end'}, ({requestId}) =>
        coordinator.endRequest(requestId),
      )
      .with({type: 'stage-release'}, ({results}) =>
        coordinator.releaseResults(results),
      )
      .with({type: 'assignment-progress'}, ({progress}) => {
        directory.recordProgress(progress);
        const {requestId, firstMs} = progress;
        if (firstMs !== undefined) coordinator.recordFirst(requestId, firstMs);
      })
      .exhaustive();
  }
}
