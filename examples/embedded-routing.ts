import {computeShares, judgeDeadline} from '@hollowstack/admission';
import {SystemClock} from '@hollowstack/clock';
import {
  ConfigurationFollower,
  ConfigurationHolder,
} from '@hollowstack/config-log';
import {SilentEventLogger} from '@hollowstack/logger';
import {GatewayStore} from '@hollowstack/store';
import {
  PredictedFinishSelector,
  createHealthyState,
  createLoadState,
  isCandidate,
  predictDurationMs,
  recordDispatch,
  recordFailure,
  DEFAULT_HEALTH_POLICY,
  type Candidate,
} from '@hollowstack/routing';
import {NodeHttpClient} from '@hollowstack/transport';

/** Results of the example program. */
export interface EmbeddedRoutingReport {
  /** Revision in force, read by the configuration follower. */
  readonly revision: number;
  /** The upstream chosen from an idle, a busy and an unhealthy one. */
  readonly chosen: string | undefined;
  readonly isReachable: boolean;
  readonly shares: readonly number[];
}

const EXPECTED_DURATION_MS = 40;
const SLOTS = 4;

/**
 * Example of a program that uses packages of hollowstack without its daemon: it follows
 * the published configuration and makes the same decisions as an instance.
 *
 * @param platformAddress IP address and port of the platform's service.
 */
export async function runEmbedded(
  platformAddress: string,
): Promise<EmbeddedRoutingReport> {
  const clock = new SystemClock();
  const client = new NodeHttpClient();
  const store = new GatewayStore(client, clock, {
    address: platformAddress,
    timeoutMs: 1000,
  });
  const logger = new SilentEventLogger();
  const holder = new ConfigurationHolder(logger);
  const follower = new ConfigurationFollower(
    store,
    clock,
    holder,
    logger,
    Math.random,
  );
  await follower.refresh();
  client.close();
  return {
    revision: holder.getRevision(),
    chosen: chooseAmongThree(clock.getNow()),
    isReachable: judgeDeadline({
      nowMs: 0,
      deadlineMs: 100,
      waitMs: 20,
      remainingMs: EXPECTED_DURATION_MS,
      requiredShare: 0.95,
    }).isReachable,
    shares: computeShares(100, [
      {instance: 'a', amount: 10},
      {instance: 'b', amount: 200},
    ]).map(({amount}) => amount),
  };
}

function chooseAmongThree(nowMs: number): string | undefined {
  const healthy = createHealthyState();
  const idle = createLoadState();
  const upstreams = [
    {
      id: 'out',
      health: recordFailure(healthy, 'refused', DEFAULT_HEALTH_POLICY, nowMs),
      load: idle,
    },
    {id: 'busy', health: healthy, load: recordDispatch(recordDispatch(idle))},
    {id: 'idle', health: healthy, load: idle},
  ];
  const candidates: Candidate[] = upstreams
    .filter(({health}) => isCandidate(health, nowMs))
    .map(({id, load}) => ({
      id,
      ownInFlight: load.ownInFlight,
      predictedMs: predictDurationMs(load, EXPECTED_DURATION_MS, SLOTS),
    }));
  const selector = new PredictedFinishSelector(Math.random);
  return selector.chooseUpstream({candidates, affinityKey: undefined})?.id;
}
