import {waitFor, type Clock} from '@hollowstack/clock';
import {listByRendezvous} from '@hollowstack/routing';
import type {Workspace} from '@hollowstack/types';
import {TokenBucket} from '@hollowstack/token-bucket';
import type {Membership} from './membership.ts';
import type {PeerLink} from './peer-link.ts';
import {
  RESERVED_FRACTION,
  type GrantedShare,
  type ShareDemand,
  type ShareAllocator,
} from './share-allocator.ts';

/** Dependencies of ShareClient. */
export interface ShareClientParts {
  readonly link: PeerLink;
  readonly membership: Membership;
  readonly allocator: ShareAllocator;
  readonly clock: Clock;
  readonly random: () => number;
  readonly getWorkspace: (name: string) => Workspace | undefined;
}

/** This instance's current share of one workspace's limits. */
export interface WorkspaceShare extends GrantedShare {
  /** Requests of the workspace in flight on this instance. */
  readonly inFlight: number;
}

/** The limit because of which a request is refused. */
export type ShareRefusal = 'requests-per-second' | 'concurrent-requests';

interface WorkspaceUsage {
  bucket: TokenBucket;
  /** Resolves once the first share has arrived or its time-out has passed. */
  firstShare: Promise<void>;
  hasFirstShare: boolean;
  share: GrantedShare;
  grantedAtMs: number;
  inFlight: number;
  peakInFlight: number;
  /** Requests that arrived since the last round, admitted or not. */
  arrivalCount: number;
  arrivalsPerSecond: number;
  lastArrivalAtMs: number;
}

/** Milliseconds between two reports of demand. */
const ROUND_MS = 1000;
/** Milliseconds for the allocator's reply; less than a round. */
const TIMEOUT_MS = 800;
/** Milliseconds for which a share is valid; three rounds and a late reply. */
const SHARE_VALID_MS = 3500;
/** Milliseconds without a request after which the state of a workspace is removed. */
const IDLE_TTL_MS = 10_000;
/**
 * Milliseconds that requests beyond the even share wait for the first share; about a
 * hundred round trips. Without a first share, the even share applies.
 */
const FIRST_SHARE_TIMEOUT_MS = 100;
/** Factor between reported demand and current usage, so that a share can grow. */
const DEMAND_HEADROOM = 1.25;

/**
 * Keeps this instance within its share of each workspace's limits. The instance that
 * allocates a workspace's shares is chosen by rendezvous hashing of the workspace's name
 * over the live instances. While it cannot be reached, the even share applies.
 */
export class ShareClient {
  private readonly parts: ShareClientParts;
  private readonly usages = new Map<string, WorkspaceUsage>();
  private readonly controller = new AbortController();

  constructor(parts: ShareClientParts) {
    this.parts = parts;
  }

  /**
   * Admits a request, or returns the limit that is used up. While an instance awaits its
   * first share of a workspace, requests beyond the even share wait as well: otherwise
   * two concurrent requests would be refused far below the limit.
   */
  async beginRequest(workspace: Workspace): Promise<ShareRefusal | undefined> {
    const usage = this.getUsage(workspace);
    usage.arrivalCount += 1;
    usage.lastArrivalAtMs = this.parts.clock.getNow();
    this.applyFallback(usage, workspace);
    const refusal = this.admitRequest(usage);
    if (!refusal || usage.hasFirstShare) return refusal;
    await usage.firstShare;
    return this.admitRequest(usage);
  }

  private admitRequest(usage: WorkspaceUsage): ShareRefusal | undefined {
    if (usage.inFlight + 1 > Math.max(1, usage.share.concurrentRequests)) {
      return 'concurrent-requests';
    }
    if (!usage.bucket.acquire()) return 'requests-per-second';
    usage.inFlight += 1;
    usage.peakInFlight = Math.max(usage.peakInFlight, usage.inFlight);
    return undefined;
  }

  /** Records the end of an admitted request. */
  endRequest(workspace: Workspace): void {
    this.getUsage(workspace).inFlight -= 1;
  }

  getShare(workspace: string): WorkspaceShare | undefined {
    const usage = this.usages.get(workspace);
    return usage && {...usage.share, inFlight: usage.inFlight};
  }

  /** Returns the milliseconds until the rate limit admits the workspace's next request. */
  getWaitMs(workspace: Workspace): number {
    return this.getUsage(workspace).bucket.getWaitMs();
  }

  /** Reports demand and refreshes shares until stopped. */
  async start(): Promise<void> {
    const {clock, random} = this.parts;
    const {signal} = this.controller;
    while (!signal.aborted) {
      const delayMs = ROUND_MS * (0.9 + random() / 5);
      await waitFor(clock, delayMs, signal).catch(() => {});
      if (!signal.aborted) await this.runRound(delayMs);
    }
  }

  stop(): void {
    this.controller.abort(new Error('stopped'));
  }

  private async runRound(elapsedMs: number): Promise<void> {
    const nowMs = this.parts.clock.getNow();
    const refreshes: Array<Promise<void>> = [];
    for (const [name, usage] of this.usages) {
      usage.arrivalsPerSecond = (usage.arrivalCount * 1000) / elapsedMs;
      usage.arrivalCount = 0;
      const isIdle =
        usage.inFlight === 0 && nowMs - usage.lastArrivalAtMs > IDLE_TTL_MS;
      if (isIdle) this.usages.delete(name);
      else refreshes.push(this.refreshShare(name, usage));
    }
    await Promise.all(refreshes);
  }

  private async refreshShare(
    name: string,
    usage: WorkspaceUsage,
  ): Promise<void> {
    const workspace = this.parts.getWorkspace(name);
    if (!workspace) return;
    const demand = {
      requestsPerSecond: usage.arrivalsPerSecond * DEMAND_HEADROOM,
      inFlight: usage.peakInFlight * DEMAND_HEADROOM,
    };
    usage.peakInFlight = usage.inFlight;
    const share = await this.askAllocator(workspace, demand);
    if (!share) return;
    this.setShare(usage, share);
    usage.grantedAtMs = this.parts.clock.getNow();
  }

  private async askAllocator(
    workspace: Workspace,
    demand: ShareDemand,
  ): Promise<GrantedShare | undefined> {
    const {link, membership, allocator} = this.parts;
    const self = membership.getSelf();
    const peers = membership.listPeers();
    const ids = [self.id, ...peers.map(({id}) => id)];
    const allocatorId = listByRendezvous(workspace.name, ids)[0];
    const address = peers.find(({id}) => id === allocatorId)?.address;
    if (address === undefined) {
      return allocator.grantShare(
        workspace.name,
        self.id,
        demand,
        workspace.limits,
        membership.getLiveCount(),
      );
    }
    const reply = await link
      .sendRequest(
        address,
        {
          type: 'demand',
          instance: self.id,
          workspace: workspace.name,
          ...demand,
        },
        TIMEOUT_MS,
      )
      .catch((): undefined => undefined);
    return reply?.type === 'share' ? reply : undefined;
  }

  private getUsage(workspace: Workspace): WorkspaceUsage {
    const existing = this.usages.get(workspace.name);
    if (existing) return existing;
    const {clock} = this.parts;
    const share = this.computeEvenShare(workspace);
    const usage: WorkspaceUsage = {
      // All instances may start together, so each starts with its even share.
      bucket: createBucket(clock, share),
      firstShare: Promise.resolve(),
      hasFirstShare: false,
      share,
      grantedAtMs: clock.getNow(),
      inFlight: 0,
      peakInFlight: 0,
      arrivalCount: 0,
      arrivalsPerSecond: 0,
      lastArrivalAtMs: clock.getNow(),
    };
    this.usages.set(workspace.name, usage);
    usage.firstShare = this.readFirstShare(usage, workspace);
    return usage;
  }

  private async readFirstShare(
    usage: WorkspaceUsage,
    workspace: Workspace,
  ): Promise<void> {
    const {clock} = this.parts;
    const {requestsPerSecond, concurrentRequests} = workspace.limits;
    const pendingShare = this.askAllocator(workspace, {
      requestsPerSecond: requestsPerSecond * RESERVED_FRACTION,
      inFlight: concurrentRequests * RESERVED_FRACTION,
    });
    const share = await Promise.race([
      pendingShare,
      waitFor(clock, FIRST_SHARE_TIMEOUT_MS).then((): undefined => undefined),
    ]);
    usage.hasFirstShare = true;
    if (!share) return;
    // Tokens already taken from the even share count against the first share.
    const takenCount = usage.bucket.getTakenCount();
    usage.share = share;
    usage.grantedAtMs = clock.getNow();
    usage.bucket = createBucket(clock, share);
    for (let taken = 0; taken < takenCount; taken++) usage.bucket.acquire();
  }

  private applyFallback(usage: WorkspaceUsage, workspace: Workspace): void {
    const ageMs = this.parts.clock.getNow() - usage.grantedAtMs;
    if (ageMs <= SHARE_VALID_MS) return;
    this.setShare(usage, this.computeEvenShare(workspace));
    usage.grantedAtMs = this.parts.clock.getNow();
  }

  private setShare(usage: WorkspaceUsage, share: GrantedShare): void {
    usage.share = share;
    usage.bucket.setRate(
      share.requestsPerSecond,
      getBurst(share.requestsPerSecond),
    );
  }

  private computeEvenShare({limits}: Workspace): GrantedShare {
    const count = this.parts.membership.getLiveCount();
    return {
      requestsPerSecond: limits.requestsPerSecond / count,
      concurrentRequests: limits.concurrentRequests / count,
    };
  }
}

function createBucket(clock: Clock, share: GrantedShare): TokenBucket {
  const {requestsPerSecond} = share;
  return new TokenBucket(clock, requestsPerSecond, getBurst(requestsPerSecond));
}

// Half a second's worth of requests: enough for an uneven load balancer, and small
// compared with the overload that a limit guards against. Below two, the tokens left over
// between requests would be lost: 100 instances with 2 requests per second each used 70 %
// of their limit.
function getBurst(requestsPerSecond: number): number {
  return Math.max(2, requestsPerSecond / 2);
}
