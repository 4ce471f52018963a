import {runInProcess} from './in-process-run.ts';
import type {PolicyName} from './policies.ts';
import type {RunResult} from './results.ts';
import type {Scenario} from './scenario.ts';

/** Selects the runs of a scenario. */
export interface ExperimentOptions {
  readonly policies: readonly PolicyName[];
  readonly seeds: readonly number[];
  /** Called after each run. */
  readonly handleProgress?: (run: RunResult) => void;
}

/** Runs every policy with every seed; all policies get the same arrivals. */
export async function runExperiment(
  scenario: Scenario,
  options: ExperimentOptions,
): Promise<RunResult[]> {
  const runs: RunResult[] = [];
  for (const seed of options.seeds) {
    for (const policy of options.policies) {
      const run = await runInProcess(scenario, policy, seed);
      runs.push(run);
      options.handleProgress?.(run);
    }
  }
  return runs;
}
