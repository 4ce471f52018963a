import type {ManualClock} from '@hollowstack/clock';
import {SilentEventLogger} from '@hollowstack/logger';
import {MetricsRegistry} from '@hollowstack/metrics';
import type {RegisteredUpstream, RouteTable} from '@hollowstack/routes';
import {BackOffTable} from '@hollowstack/upstream-signals';
import {
  StageCoordinator,
  type StageCoordinatorParts,
} from '../stage-coordinator.ts';
import type {RunAnswer, StagePiece} from '../stage-protocol.ts';
import {getMiddle} from './get-middle.ts';
import {NO_LIMITS} from './no-limits.ts';
import {ALWAYS_FRESH} from './always-fresh.ts';

/**
 * A stage service of a test: fixed milliseconds of a call, milliseconds of a piece, batch
 * size.
 */
export interface TestStage {
  readonly name: string;
  readonly callMs: number;
  readonly pieceMs: number;
  readonly batchSize: number;
}

/**
 * Creates a coordinator whose calls are answered by `runPieces`. Calls that may no longer be
 * sent do not reach it.
 */
export function createTestCoordinator(
  clock: ManualClock,
  stages: readonly TestStage[],
  runPieces: (id: string, pieces: readonly StagePiece[]) => Promise<RunAnswer>,
  freshnessGuard?: StageCoordinatorParts['freshnessGuard'],
): StageCoordinator {
  const caller: StageCoordinatorParts['caller'] = {
    runPieces: async ({id}, {takePieces}) => {
      const pieces = takePieces();
      if (pieces.length > 0) return runPieces(id, pieces);
      return {type: 'not-run', isOtherUpstream: false};
    },
    releaseResults: async () => {},
    close: () => {},
  };
  return createCallerCoordinator(clock, stages, caller, freshnessGuard);
}

/** Creates a coordinator that makes its calls through `caller`. */
export function createCallerCoordinator(
  clock: ManualClock,
  stages: readonly TestStage[],
  caller: StageCoordinatorParts['caller'],
  freshnessGuard: StageCoordinatorParts['freshnessGuard'] = ALWAYS_FRESH,
): StageCoordinator {
  const logger = new SilentEventLogger();
  const coordinator = new StageCoordinator({
    freshnessGuard,
    clock,
    logger,
    metrics: new MetricsRegistry(),
    caller,
    backOffs: new BackOffTable({clock, logger}),
    limiter: NO_LIMITS,
    random: getMiddle,
    releasesInputsEarly: true,
  });
  const services = stages.map(({name, ...times}) => ({
    name,
    stage: {
      ...times,
      concurrency: 1,
      backlog: 0,
      resultBytes: 1_000_000,
      resultTtlMs: 4000,
    },
  }));
  const table = {configuration: {services}};
  coordinator.setConfiguration(table as unknown as RouteTable);
  return coordinator;
}

/** Creates an upstream whose address is its id. */
export function createTestUpstream(
  service: string,
  id: string,
): RegisteredUpstream {
  return {
    id,
    service,
    address: id,
    failureDomain: 'a',
    capacity: 1,
    isLeaving: false,
  };
}
