import type {FreshnessTable, ViewPart} from '@hollowstack/freshness';
import type {Membership, PeerReply, ViewOffsets} from '@hollowstack/peers';
import type {SuspectPartTable, SuspectTable} from '@hollowstack/quarantine';
import type {LimitTable} from '@hollowstack/upstream-limits';
import type {EvacuatedDomains} from './evacuated-domains.ts';
import type {RouteHolder} from './route-holder.ts';
import type {UpstreamRegistry} from './upstream-registry.ts';

/** Dependencies of GossipState. */
export interface GossipStateParts {
  readonly membership: Membership;
  readonly routeHolder: RouteHolder;
  readonly registry: UpstreamRegistry;
  readonly evacuated: EvacuatedDomains;
  readonly suspects: Pick<SuspectTable, 'applyReports' | 'listReports'>;
  readonly suspectParts: Pick<SuspectPartTable, 'applyReport' | 'createReport'>;
  readonly limits: Pick<LimitTable, 'applyReports' | 'listReports'>;
  readonly freshness: Pick<FreshnessTable, 'recordKnown' | 'getKnownUntilMs'>;
}

/** The fields that both requests and replies of a comparison carry. */
export type GossipMessage = Pick<
  Extract<PeerReply, {type: 'copy'}>,
  | 'self'
  | 'isLeaving'
  | 'configurationRevision'
  | 'storeRevision'
  | 'isProvisional'
  | 'evacuations'
  | 'leavingUpstreams'
  | 'suspects'
  | 'suspectParts'
  | 'limits'
>;

/** Circumstances of a comparison with a peer. */
export interface ComparisonInput {
  /** When the request was sent, which is no later than when the peer received it. */
  readonly askedAtMs: number;
  /** Whether the reply's copy of the upstreams was applied. */
  readonly isCopyApplied: boolean;
  readonly source: string;
}

/** Builds the state that every gossip request and reply carries, and applies that of peers. */
export class GossipState {
  private readonly parts: GossipStateParts;

  constructor(parts: GossipStateParts) {
    this.parts = parts;
  }

  createMessage(): GossipMessage {
    const {membership, routeHolder, registry, evacuated} = this.parts;
    const {suspects, suspectParts, limits} = this.parts;
    return {
      self: membership.getSelf(),
      isLeaving: membership.isLeaving(),
      configurationRevision: routeHolder.getRevision(),
      storeRevision: registry.getStoreRevision(),
      isProvisional: registry.isInGrace(),
      evacuations: evacuated.getState(),
      leavingUpstreams: registry.listUnregisteredLeaving(),
      suspects: suspects.listReports(),
      suspectParts: suspectParts.createReport(),
      limits: limits.listReports(),
    };
  }

  /** Applies the state that a peer sent. */
  recordMessage(message: GossipMessage, address: string): void {
    const {registry, evacuated, suspects, suspectParts, limits} = this.parts;
    const source = `peer ${address}`;
    this.recordPeer(message);
    const {evacuations, leavingUpstreams = []} = message;
    if (evacuations) evacuated.replaceState(evacuations, source);
    for (const id of leavingUpstreams) registry.recordLeaving(id, {source});
    suspects.applyReports(message.suspects ?? [], source);
    if (message.suspectParts) {
      suspectParts.applyReport(message.suspectParts, source);
    }
    limits.applyReports(message.limits ?? [], source);
  }

  /**
   * Returns up to when each part of the view is known to be complete, as milliseconds
   * relative to `nowMs`; undefined for a part without evidence.
   */
  computeViewOffsets(nowMs: number): ViewOffsets {
    const compute = (part: ViewPart) => {
      const knownUntilMs = this.parts.freshness.getKnownUntilMs(part);
      if (knownUntilMs === undefined) return undefined;
      return Math.floor(knownUntilMs - nowMs);
    };
    return {
      configuration: compute('configuration'),
      upstreams: compute('upstreams'),
    };
  }

  /**
   * Records the freshness that a comparison proves: if this instance lacks nothing that the
   * peer has, it knows every change up to the same time as the peer.
   */
  recordComparison(
    reply: Extract<PeerReply, {type: 'copy'}>,
    {askedAtMs, isCopyApplied, source}: ComparisonInput,
  ): void {
    const {routeHolder, evacuated, freshness} = this.parts;
    const {configuration, upstreams} = reply.viewOffsetsMs ?? {};
    const isConfigurationKnown =
      routeHolder.getRevision() >= reply.configurationRevision &&
      evacuated.getState().storeRevision >=
        (reply.evacuations?.storeRevision ?? Infinity);
    if (configuration !== undefined && isConfigurationKnown) {
      freshness.recordKnown('configuration', askedAtMs + configuration, source);
    }
    const isSame = !reply.isDigestOther && !reply.isProvisional;
    if (upstreams !== undefined && (isSame || isCopyApplied)) {
      freshness.recordKnown('upstreams', askedAtMs + upstreams, source);
    }
  }

  /** Returns whether there are reports that peers get from instances only, not from the store. */
  hasUnstoredReports(): boolean {
    const {registry, suspects, suspectParts, limits} = this.parts;
    return (
      registry.listUnregisteredLeaving().length > 0 ||
      suspects.listReports().length > 0 ||
      suspectParts.createReport() !== undefined ||
      limits.listReports().length > 0
    );
  }

  // A stopping peer still answers, but must get no new requests.
  private recordPeer({self, isLeaving}: GossipMessage): void {
    const {membership} = this.parts;
    if (isLeaving) membership.recordUnreachable(self.id);
    else membership.recordContact(self);
  }
}
