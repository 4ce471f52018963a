import {writeFileSync} from 'node:fs';
import {
  POLICY_NAMES,
  computeSummaries,
  formatSummaryTable,
  parseScenario,
  renderHtmlReport,
  runAgainstEntries,
  runExperiment,
  type PolicyName,
  type RunResult,
  type Scenario,
} from '@hollowstack/bench';
import {HollowstackError} from '@hollowstack/errors';
import {Command, Option} from 'clipanion';
import {readTextFile} from '../../read-text-file.ts';
import {ReportingCommand} from '../../reporting-command.ts';

/** `hollowstack load`: runs a load scenario and compares policies. */
export class LoadCommand extends ReportingCommand {
  static override paths = [['load']];
  static override usage = Command.Usage({
    category: 'Measuring',
    description: 'run a scenario and report attainment and cost',
    details: `
      Without --entry the scenario runs in this process on a manual clock, with
      the real daemons, stand-ins for upstreams, and the same arrivals for every
      policy. With --entry the arrivals are sent in an open loop to running
      instances on the loopback interface.

      docs/SCENARIOS.md describes the file.
    `,
    examples: [
      ['Compare policies', 'hollowstack load scenarios/campaign-morning.toml'],
      [
        'Load running instances',
        'hollowstack load day.toml --entry 127.0.0.1:8080',
      ],
    ],
  });

  file = Option.String();
  policies = Option.Array('--policy', {
    description: `policy to run, repeatable: ${POLICY_NAMES.join(', ')}`,
  });
  seeds = Option.Array('--seed', {description: 'seed to run, repeatable'});
  load = Option.String('--load', {description: 'factor on all arrival rates'});
  entries = Option.Array('--entry', {
    description: 'loopback address of a running instance, repeatable',
  });
  jsonPath = Option.String('--json-file', {
    description: 'file to which the summaries are written as JSON',
  });
  htmlPath = Option.String('--html-file', {
    description: 'file to which a page with charts is written',
  });

  protected async runCommand(): Promise<number> {
    const scenario = this.readScenario();
    const runs = await this.runScenario(scenario);
    const summaries = computeSummaries(runs);
    this.print(`${scenario.name}, load ${scenario.load}\n`);
    this.print(formatSummaryTable(summaries));
    for (const {policy, outcomes} of summaries) {
      const counts = outcomes.map(({outcome, count}) => `${count} ${outcome}`);
      this.print(`${policy}: ${counts.join(', ')}`);
    }
    if (this.jsonPath) {
      const report = {scenario, summaries};
      writeFileSync(this.jsonPath, JSON.stringify(report, undefined, 2));
    }
    if (this.htmlPath) {
      writeFileSync(this.htmlPath, renderHtmlReport(scenario, runs, summaries));
    }
    return 0;
  }

  private readScenario(): Scenario {
    const scenario = parseScenario(readTextFile(this.file), this.file);
    const load = this.load === undefined ? scenario.load : Number(this.load);
    if (!(load > 0)) {
      throw new HollowstackError(
        'bad-request',
        '--load: write a number above 0',
      );
    }
    const seeds = this.seeds?.map(Number) ?? scenario.seeds;
    if (!seeds.every(Number.isInteger)) {
      throw new HollowstackError('bad-request', '--seed: write a whole number');
    }
    return {...scenario, load, seeds, policies: this.choosePolicies(scenario)};
  }

  private choosePolicies(scenario: Scenario): PolicyName[] {
    if (!this.policies) return scenario.policies;
    return this.policies.map(name => {
      const known = POLICY_NAMES.find(policy => policy === name);
      if (known) return known;
      throw new HollowstackError(
        'bad-request',
        `--policy: there is no ${name}; choose among ${POLICY_NAMES.join(', ')}`,
      );
    });
  }

  private runScenario(scenario: Scenario): Promise<RunResult[]> {
    const {entries} = this;
    if (entries) {
      const runs = scenario.seeds.map(
        seed => () => runAgainstEntries(scenario, entries, seed),
      );
      return runSequentially(runs);
    }
    const {seeds, policies} = scenario;
    return runExperiment(scenario, {
      seeds,
      policies,
      handleProgress: ({policy, seed}) =>
        this.context.stderr.write(`${policy} with seed ${seed} done\n`),
    });
  }
}

async function runSequentially<Value>(
  runs: ReadonlyArray<() => Promise<Value>>,
): Promise<Value[]> {
  const values: Value[] = [];
  for (const run of runs) values.push(await run());
  return values;
}
