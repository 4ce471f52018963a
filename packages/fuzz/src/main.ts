import {parseArgs} from 'node:util';
import {runFuzz} from './run-fuzz.ts';

// npm run fuzz -- --runs N --seed S: manual fuzzing over many runs.
const {values} = parseArgs({
  options: {
    runs: {type: 'string', default: '200'},
    seed: {type: 'string', default: String(Date.now() % 1_000_000_000)},
    commands: {type: 'string', default: '25'},
    path: {type: 'string'},
    'no-shrink': {type: 'boolean', default: false},
  },
});
const startedAtMs = performance.now();
console.log(`seed ${values.seed}`);
const report = await runFuzz({
  runs: Number(values.runs),
  seed: Number(values.seed),
  maxCommands: Number(values.commands),
  path: values.path,
  skipsShrinking: values['no-shrink'],
});
const seconds = ((performance.now() - startedAtMs) / 1000).toFixed(1);
console.log(
  `${report.runs} runs, ${report.commands} commands, ${report.requests} requests in ${seconds} s: every invariant holds`,
);
