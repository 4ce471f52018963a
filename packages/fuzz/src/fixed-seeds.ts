import type {TestContext} from 'node:test';
import {runFuzz} from './run-fuzz.ts';

/**
 * Runs of one seed in CI. Each seed is a test file of its own, so that the
 * test runner spreads them over the processors.
 */
export const FIXED_RUNS = 1450;
const MAX_COMMANDS = 40;

/** Fuzzes one fixed seed; the commands of a run are the same every time. */
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
