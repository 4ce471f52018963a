// Guards against a process that never exits: a gateway logged that it had stopped but ran
// until it was killed a minute later, because an open resource kept the event loop alive.
import assert from 'node:assert/strict';
import {execFile} from 'node:child_process';
import {test} from 'node:test';

const MODULE_URL = new URL('./end-process.ts', import.meta.url).href;
/** Milliseconds after which a process that does not end fails the test. */
const TIMEOUT_MS = 5000;
const LINE_COUNT = 2000;

interface EndedProcess {
  readonly exitCode: number | string | null | undefined;
  readonly wasKilled: boolean;
  readonly stdout: string;
}

/** Runs the source of a module in a separate process. */
function runModule(text: string): Promise<EndedProcess> {
  const args = ['--input-type=module', '--eval', text];
  return new Promise(resolve => {
    execFile(process.execPath, args, {timeout: TIMEOUT_MS}, (error, stdout) =>
      resolve({
        exitCode: error ? error.code : 0,
        wasKilled: error?.killed ?? false,
        stdout,
      }),
    );
  });
}

test('a process exits with its exit code despite open resources', async () => {
  const {exitCode, wasKilled} = await runModule(`
    import {createServer} from 'node:net';
    import {endProcess} from '${MODULE_URL}';
    createServer().listen(0, '127.0.0.1', () => endProcess(3));
    setInterval(() => {}, 1000);
  `);
  assert.deepEqual({exitCode, wasKilled}, {exitCode: 3, wasKilled: false});
});

test('output printed before the exit is not lost', async () => {
  const {exitCode, stdout} = await runModule(`
    import {endProcess} from '${MODULE_URL}';
    for (let line = 0; line < ${LINE_COUNT}; line++) console.log('line', line);
    endProcess(0);
  `);
  assert.equal(exitCode, 0);
  assert.equal(stdout.trimEnd().split('\n').length, LINE_COUNT);
});
