import type {ClaimedCalls} from '@hollowstack/claims';
import type {
  ConfigurationFollower,
  ConfigurationHolder,
} from '@hollowstack/config-log';
import type {DecisionLog} from '@hollowstack/decisions';
import type {
  Membership,
  PeerReply,
  PeerRequest,
  ShareAllocator,
} from '@hollowstack/peers';
import {match} from 'ts-pattern';

/** Dependencies of the handler. */
export interface PeerRequestHandlerParts {
  readonly holder: ConfigurationHolder;
  readonly follower: ConfigurationFollower;
  readonly membership: Membership;
  readonly shareAllocator: ShareAllocator;
  readonly claimedCalls: ClaimedCalls;
  readonly decisionLog: DecisionLog;
}

type RequestOf<Type extends PeerRequest['type']> = Extract<
  PeerRequest,
  {type: Type}
>;

/** Answers requests of peers. */
export class PeerRequestHandler {
  private readonly parts: PeerRequestHandlerParts;

  constructor(parts: PeerRequestHandlerParts) {
    this.parts = parts;
  }

  async answerRequest(request: PeerRequest): Promise<PeerReply> {
    return match(request)
      .with({type: 'digest'}, digest => this.answerDigest(digest))
      .with({type: 'snapshot'}, () => this.answerSnapshot())
      .with({type: 'members'}, () => this.answerMembers())
      .with({type: 'demand'}, demand => this.answerDemand(demand))
      .with({type: 'outcome'}, query => this.answerOutcome(query))
      .with({type: 'why'}, query => this.answerWhy(query))
      .with({type: 'ping'}, () => ({type: 'done' as const}))
      .with(
        {type: 'stage-job'},
        {type: 'stage-cancel'},
        {type: 'stage-admit'},
        {type: 'notes'},
        {type: 'open-tunnel'},
        {type: 'copy'},
        {type: 'assign'},
        {type: 'limited-send'},
        {type: 'stream-began'},
        {type: 'stream-origin'},
        {type: 'part-trial'},
        {type: 'relay-watch'},
        {type: 'relay-read'},
        (): PeerReply => ({
          type: 'failed',
          message: 'this instance does not serve routed services',
        }),
      )
      .exhaustive();
  }

  /** Returns the revision in force and the id of its change; 0 and an empty id if none is. */
  getRevision(): {revision: number; changeId: string} {
    const current = this.parts.holder.getCurrent();
    if (!current) return {revision: 0, changeId: ''};
    const {revision, changeId} = current.snapshot.head;
    return {revision, changeId};
  }

  private answerDigest(digest: RequestOf<'digest'>): PeerReply {
    this.parts.membership.recordContact(digest.self);
    this.parts.follower.handleHint(digest.revision);
    return {type: 'digest', ...this.getRevision()};
  }

  private answerSnapshot(): PeerReply {
    const snapshot = this.parts.holder.getCurrent()?.snapshot;
    return {type: 'snapshot', snapshot};
  }

  private answerMembers(): PeerReply {
    const {membership} = this.parts;
    const members = [membership.getSelf(), ...membership.listPeers()];
    return {type: 'members', members};
  }

  private answerDemand(demand: RequestOf<'demand'>): PeerReply {
    const workspace = this.parts.holder
      .getCurrent()
      ?.getWorkspace(demand.workspace);
    if (!workspace) {
      return {type: 'failed', message: `no workspace ${demand.workspace}`};
    }
    const share = this.parts.shareAllocator.grantShare(
      demand.workspace,
      demand.instance,
      demand,
      workspace.limits,
      this.parts.membership.getLiveCount(),
    );
    return {type: 'share', ...share};
  }

  private async answerOutcome(query: RequestOf<'outcome'>): Promise<PeerReply> {
    const {claimKey, requestId, waitMs} = query;
    const outcome = await this.parts.claimedCalls.findOutcome(
      claimKey,
      requestId,
      waitMs,
    );
    return {type: 'outcome', outcome};
  }

  private answerWhy({requestId}: RequestOf<'why'>): PeerReply {
    return {type: 'why', found: this.parts.decisionLog.getRequest(requestId)};
  }
}
