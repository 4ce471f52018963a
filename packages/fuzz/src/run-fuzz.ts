import fc from 'fast-check';
import {createCommandArbitrary, type FuzzCommand} from './commands.ts';
import {FuzzHarness} from './fuzz-harness.ts';
import {checkInvariants} from './oracle.ts';

/** How much to fuzz. */
export interface FuzzOptions {
  readonly runs: number;
  readonly seed: number;
  readonly maxCommands: number;
  /** Path of a shrunk failure, to run it alone. */
  readonly path?: string;
  /** Whether a failure is told as it was found, without being made smaller. */
  readonly isUnshrunk?: boolean;
}

/** What was run. */
export interface FuzzReport {
  readonly runs: number;
  readonly commands: number;
  readonly requests: number;
}

/** Milliseconds in which the system must be whole again after the last fault. */
const HEAL_MS = 15_000;

/**
 * Runs random commands against whole systems.
 *
 * @throws Error with the shrunk commands and the seed where a promise broke.
 */
export async function runFuzz(options: FuzzOptions): Promise<FuzzReport> {
  const report = {runs: 0, commands: 0, requests: 0};
  await fc.assert(
    fc.asyncProperty(
      fc.integer(),
      createCommandArbitrary(options.maxCommands),
      async (worldSeed, commands) => {
        const world = await runCommands(worldSeed, commands);
        report.runs += 1;
        report.commands += [...commands].length;
        report.requests += world.requests.length;
      },
    ),
    {
      numRuns: options.runs,
      seed: options.seed,
      path: options.path,
      endOnFailure: options.isUnshrunk ?? false,
    },
  );
  return report;
}

/** Runs commands on a new system, heals it and checks every promise. */
export async function runCommands(
  worldSeed: number,
  commands: Iterable<FuzzCommand>,
): Promise<FuzzHarness> {
  const world = new FuzzHarness(worldSeed);
  await world.start();
  const setup = () => ({model: {requests: 0}, real: world});
  await fc.asyncModelRun(setup, commands);
  await world.endFaults(HEAL_MS);
  const violations = checkInvariants(world);
  await world.system.stop();
  if (violations.length > 0) {
    const lines = violations.map(
      ({invariant, detail}) => `${invariant}: ${detail}`,
    );
    throw new Error(lines.join('\n'));
  }
  return world;
}
