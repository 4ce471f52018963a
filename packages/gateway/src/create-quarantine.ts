import {
  CrashDetector,
  RequestQuarantine,
  SuspectTable,
} from '@hollowstack/quarantine';
import {checkConnection, type Connector} from '@hollowstack/transport';
import type {GatewayEnvironment} from './create-gateway.ts';

/** Components that keep requests which crash upstreams away from further upstreams. */
export interface Quarantine {
  readonly suspects: SuspectTable;
  readonly detector: CrashDetector;
  readonly quarantine: RequestQuarantine;
}

/** Creates the components of the quarantine and registers their metrics. */
export function createQuarantine(
  {
    clock,
    logger,
    metrics,
  }: Pick<GatewayEnvironment, 'clock' | 'logger' | 'metrics'>,
  connector: Connector,
): Quarantine {
  const suspects = new SuspectTable({clock, logger});
  const detector = new CrashDetector({
    clock,
    logger,
    metrics,
    table: suspects,
    checkAddress: address => checkConnection(address, connector),
  });
  const quarantine = new RequestQuarantine({
    metrics,
    table: suspects,
    detector,
  });
  metrics.setGauge('hollowstack_requests_quarantined', {}, () =>
    suspects.countQuarantined(),
  );
  metrics.setGauge('hollowstack_requests_suspected', {}, () =>
    suspects.countSuspected(),
  );
  return {suspects, detector, quarantine};
}
