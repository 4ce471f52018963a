import type {
  ConfigurationFollower,
  ConfigurationHolder,
} from '@hollowstack/config-log';
import type {LatencySummary, MetricsRegistry} from '@hollowstack/metrics';
import type {Membership, PeerRecord} from '@hollowstack/peers';
import type {GroupDirectory, UpstreamStatus} from '@hollowstack/pipeline';
import type {Lifecycle, LifecycleState} from './lifecycle.ts';

/** State of one instance as the status command shows it. */
export interface InstanceStatus {
  readonly instance: string;
  readonly failureDomain: string;
  readonly state: LifecycleState;
  readonly revision: number;
  readonly isStoreDown: boolean;
  readonly inProgress: number;
  readonly peers: readonly PeerRecord[];
  readonly groups: readonly GroupStatus[];
  readonly latencies: readonly LatencyStatus[];
}

/** State of one pool or service as the status command shows it. */
export interface GroupStatus {
  readonly name: string;
  /** Current concurrency limit of this instance. */
  readonly limit: number;
  readonly inService: number;
  readonly upstreams: readonly UpstreamStatus[];
}

/** Latencies of the requests of one workspace, pipeline and priority. */
export interface LatencyStatus extends LatencySummary {
  readonly workspace: string;
  readonly pipeline: string;
  readonly class: string;
}

/** Dependencies of the reader. */
export interface StatusReaderParts {
  readonly membership: Membership;
  readonly lifecycle: Lifecycle;
  readonly holder: ConfigurationHolder;
  readonly follower: ConfigurationFollower;
  readonly groups: GroupDirectory;
  readonly metrics: MetricsRegistry;
}

/** Reads the state of this instance for the status command. */
export class StatusReader {
  private readonly parts: StatusReaderParts;

  constructor(parts: StatusReaderParts) {
    this.parts = parts;
  }

  readStatus(): InstanceStatus {
    const {membership, lifecycle, holder, follower} = this.parts;
    const {id, failureDomain} = membership.getSelf();
    return {
      instance: id,
      failureDomain,
      state: lifecycle.getState(),
      revision: holder.getRevision(),
      isStoreDown: follower.isStoreUnavailable(),
      inProgress: lifecycle.countInProgress(),
      peers: membership.listPeers(),
      groups: this.listGroupStatuses(),
      latencies: this.listLatencyStatuses(),
    };
  }

  private listGroupStatuses(): GroupStatus[] {
    return this.parts.groups.listGroups().map(group => ({
      name: group.getSettings().name,
      limit: group.slotQueue.getLimit(),
      inService: group.slotQueue.total,
      upstreams: group.listStatuses(),
    }));
  }

  private listLatencyStatuses(): LatencyStatus[] {
    return this.parts.metrics
      .listHistograms('hollowstack_request_seconds')
      .map(({labels, histogram}) => ({
        workspace: labels.workspace,
        pipeline: labels.pipeline,
        class: labels.class,
        ...histogram.getSummary(),
      }));
  }
}
