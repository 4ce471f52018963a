import fc from 'fast-check';
import {createCommandArbitrary, type FuzzCommand} from './commands.ts';
import {FuzzHarness} from './fuzz-harness.ts';
import {checkInvariants} from './oracle.ts';

/** Size, seed and shrinking of a fuzz run. */
export interface FuzzOptions {
  readonly runs: number;
  readonly seed: number;
  readonly maxCommands: number;
  /** Path that fast-check printed for a failure; replays only this failure. */
  readonly path?: string;
  /** Whether a failure is reported as found, without shrinking it. */
  readonly skipsShrinking?: boolean;
}

/** Totals over all runs. */
export interface FuzzReport {
  readonly runs: number;
  readonly commands: number;
  readonly requests: number;
}

/** Milliseconds after the end of all faults in which the system must recover. */
const RECOVERY_MS = 15_000;

/**
 * Runs random commands, each sequence against a new system.
 *
 * @throws Error with the shrunk commands and the seed if a run violates an invariant.
 */
export async function runFuzz(options: FuzzOptions): Promise<FuzzReport> {
  const report = {runs: 0, commands: 0, requests: 0};
  await fc.assert(
    fc.asyncProperty(
      fc.integer(),
      createCommandArbitrary(options.maxCommands),
      async (harnessSeed, commands) => {
        const harness = await runCommands(harnessSeed, commands);
        report.runs += 1;
        report.commands += [...commands].length;
        report.requests += harness.requests.length;
      },
    ),
    {
      numRuns: options.runs,
      seed: options.seed,
      path: options.path,
      endOnFailure: options.skipsShrinking ?? false,
    },
  );
  return report;
}

/**
 * Runs commands on a new system, ends all faults and checks every invariant.
 *
 * @throws Error that lists the violations.
 */
export async function runCommands(
  harnessSeed: number,
  commands: Iterable<FuzzCommand>,
): Promise<FuzzHarness> {
  const harness = new FuzzHarness(harnessSeed);
  await harness.start();
  const setup = () => ({model: {requests: 0}, real: harness});
  await fc.asyncModelRun(setup, commands);
  await harness.endFaults(RECOVERY_MS);
  const violations = checkInvariants(harness);
  await harness.system.stop();
  if (violations.length > 0) {
    const lines = violations.map(
      ({invariant, detail}) => `${invariant}: ${detail}`,
    );
    throw new Error(lines.join('\n'));
  }
  return harness;
}
