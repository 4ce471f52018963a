import {execFile} from 'node:child_process';
import {mkdtempSync, rmSync, writeFileSync} from 'node:fs';
import {tmpdir} from 'node:os';
import {join} from 'node:path';
import {test} from 'node:test';
import {fileURLToPath} from 'node:url';

const MAIN = fileURLToPath(new URL('./main.ts', import.meta.url));

interface CommandResult {
  readonly args: string;
  readonly exitCode: number;
  readonly output: string;
}

function runMain(
  args: readonly string[],
  folder: string,
): Promise<CommandResult> {
  return new Promise(resolve => {
    const options = {cwd: folder, env: {...process.env, NO_COLOR: '1'}};
    execFile(
      process.execPath,
      [MAIN, ...args],
      options,
      (error, stdout, stderr) => {
        const exitCode = typeof error?.code === 'number' ? error.code : 0;
        resolve({args: args.join(' '), exitCode, output: stdout + stderr});
      },
    );
  });
}

test('each invalid call prints one error with the next step and returns its exit code', async t => {
  const folder = mkdtempSync(join(tmpdir(), 'hollowstack-cli-'));
  t.after(() => rmSync(folder, {recursive: true, force: true}));
  writeFileSync(join(folder, 'broken.toml'), '[[pool]\n');
  writeFileSync(
    join(folder, 'settings.toml'),
    '[instance]\nid = "Entry 1"\nfailureDomain = "a"\n',
  );
  writeFileSync(
    join(folder, 'dangling.toml'),
    '[[template]]\nname = "chat"\nstages = [{name = "encode", kind = "encode", pool = "none"}]\n',
  );
  writeFileSync(join(folder, 'scenario.toml'), 'name = "x"\nspeed = 3\n');
  const calls = [
    ['config', 'check', 'missing.toml'],
    ['config', 'check', 'broken.toml'],
    ['config', 'check', 'dangling.toml'],
    ['config', 'show', '--entry', '127.0.0.1:9'],
    ['config', 'show', '--entry', '127.0.0.1:9', '--key', 'k'],
    ['entry', '--settings', 'settings.toml', '--check'],
    ['load', 'scenario.toml'],
  ];
  const results = await Promise.all(calls.map(call => runMain(call, folder)));
  t.assert.snapshot(results);
  const unknown = await runMain(['config', 'check', '--fast', 'x'], folder);
  t.assert.equal(unknown.exitCode, 1);
  t.assert.match(unknown.output, /Unsupported option name \("--fast"\)/);
});
