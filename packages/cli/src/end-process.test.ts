// A gateway logged that it had stopped and was still there a minute later, until a signal
// killed it. Its end followed from nothing being open any more, and something was.
import assert from 'node:assert/strict';
import {execFile} from 'node:child_process';
import {test} from 'node:test';

const MODULE_URL = new URL('./end-process.ts', import.meta.url).href;
/** Milliseconds after which a process that does not end fails the test. */
const LIMIT_MS = 5000;
const LINE_COUNT = 2000;

interface EndedProcess {
  readonly exitCode: number | string | null | undefined;
  readonly wasKilled: boolean;
  readonly stdout: string;
}

/** Runs a module's text in a process of its own. */
function runModule(text: string): Promise<EndedProcess> {
  const args = ['--input-type=module', '--eval', text];
  return new Promise(resolve => {
    execFile(process.execPath, args, {timeout: LIMIT_MS}, (error, stdout) =>
      resolve({
        exitCode: error ? error.code : 0,
        wasKilled: error?.killed ?? false,
        stdout,
      }),
    );
  });
}

test('a process whose command has ended ends with its exit code, whatever is open', async () => {
  const {exitCode, wasKilled} = await runModule(`
    import {createServer} from 'node:net';
    import {endProcess} from '${MODULE_URL}';
    createServer().listen(0, '127.0.0.1', () => endProcess(3));
    setInterval(() => {}, 1000);
  `);
  assert.deepEqual({exitCode, wasKilled}, {exitCode: 3, wasKilled: false});
});

test('what was printed before is not lost', async () => {
  const {exitCode, stdout} = await runModule(`
    import {endProcess} from '${MODULE_URL}';
    for (let line = 0; line < ${LINE_COUNT}; line++) console.log('line', line);
    endProcess(0);
  `);
  assert.equal(exitCode, 0);
  assert.equal(stdout.trimEnd().split('\n').length, LINE_COUNT);
});
