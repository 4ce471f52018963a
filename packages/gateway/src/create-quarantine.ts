import type {Membership, PeerLink} from '@hollowstack/peers';
import {
  CrashDetector,
  PartTrials,
  RequestQuarantine,
  SuspectPartTable,
  SuspectTable,
} from '@hollowstack/quarantine';
import {checkConnection, type Connector} from '@hollowstack/transport';
import type {GatewayEnvironment} from './create-gateway.ts';

/** Dependencies of createQuarantine. */
export interface QuarantineParts {
  readonly environment: Pick<
    GatewayEnvironment,
    'clock' | 'logger' | 'metrics'
  >;
  readonly connector: Connector;
  readonly link: PeerLink;
  /** Returns the membership, which is created later. */
  readonly getMembership: () => Membership;
}

/** Components that keep requests which crash upstreams away from further upstreams. */
export interface Quarantine {
  readonly suspects: SuspectTable;
  readonly suspectParts: SuspectPartTable;
  readonly trials: PartTrials;
  readonly detector: CrashDetector;
  readonly quarantine: RequestQuarantine;
}

/** Creates the components of the quarantine and registers their metrics. */
export function createQuarantine({
  environment: {clock, logger, metrics},
  connector,
  link,
  getMembership,
}: QuarantineParts): Quarantine {
  const suspectParts = new SuspectPartTable({clock, logger});
  const suspects = new SuspectTable({clock, logger, partTable: suspectParts});
  const detector = new CrashDetector({
    clock,
    logger,
    metrics,
    tables: [suspectParts, suspects],
    checkAddress: address => checkConnection(address, connector),
  });
  const trials = new PartTrials({
    clock,
    link,
    getSelfId: () => getMembership().getSelf().id,
    listPeers: () => getMembership().listReachablePeers(),
  });
  const quarantine = new RequestQuarantine({
    clock,
    metrics,
    logger,
    table: suspects,
    partTable: suspectParts,
    trials,
    detector,
  });
  metrics.setGauge('hollowstack_requests_quarantined', {}, () =>
    suspects.countQuarantined(),
  );
  metrics.setGauge('hollowstack_requests_suspected', {}, () =>
    suspects.countSuspected(),
  );
  metrics.setGauge('hollowstack_parts_quarantined', {}, () =>
    suspectParts.countVerdicts(),
  );
  return {suspects, suspectParts, trials, detector, quarantine};
}
