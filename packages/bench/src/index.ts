/** Load and experiment tool: scenarios, runs by policy and seed, and reports. */
export {parseScenario, scenarioSchema, type Scenario} from './scenario.ts';
export {POLICIES, POLICY_NAMES, type PolicyName} from './policies.ts';
export {createArrivals, type Arrival} from './arrivals.ts';
export {runExperiment, type ExperimentOptions} from './run-experiment.ts';
export {runInProcess} from './in-process-run.ts';
export {runAgainstEntries} from './remote-run.ts';
export {
  computeSummaries,
  type PolicySummary,
  type RunResult,
} from './results.ts';
export {renderHtmlReport} from './html-report.ts';
export {formatSummaryTable} from './summary-table.ts';
