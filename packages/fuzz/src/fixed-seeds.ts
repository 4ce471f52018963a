import type {TestContext} from 'node:test';
import {runFuzz} from './run-fuzz.ts';

/**
 * Fuzz runs per fixed seed in CI. Each seed has its own test file, so that the
 * test runner distributes the seeds over the processors.
 */
export const FIXED_RUNS = 1450;
const MAX_COMMANDS = 40;

/**
 * Fuzzes with one fixed seed; the seed determines the commands.
 *
 * @throws Error if a run violates an invariant.
 */
export async function checkFixedSeed(
  t: TestContext,
  seed: number,
): Promise<void> {
  const report = await runFuzz({
    runs: FIXED_RUNS,
    seed,
    maxCommands: MAX_COMMANDS,
  });
  t.diagnostic(`${report.commands} commands, ${report.requests} requests`);
}
