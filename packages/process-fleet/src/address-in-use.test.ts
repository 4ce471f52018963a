import assert from 'node:assert/strict';
import {mkdtempSync, rmSync, writeFileSync} from 'node:fs';
import {createServer, type AddressInfo} from 'node:net';
import {tmpdir} from 'node:os';
import {join} from 'node:path';
import {test, type TestContext} from 'node:test';
import {findFreeAddresses} from '@hollowstack/local-system';
import {ChildProcess} from './child-process.ts';

/** Exit code for settings that cannot be applied. */
const BAD_INPUT_EXIT_CODE = 2;
const PEERS = 'peers = {keys = [{id = "t", secret = "secret-of-these-tests"}]}';
const INSTANCE = 'instance = {id = "i", failureDomain = "a"}';

async function listenOnFreePort(t: TestContext): Promise<string> {
  const server = createServer();
  await new Promise<void>(resolve =>
    server.listen(0, '127.0.0.1', () => resolve()),
  );
  t.after(() => server.close());
  return `127.0.0.1:${(server.address() as AddressInfo).port}`;
}

async function runWithSettings(
  t: TestContext,
  command: string,
  lines: readonly string[],
): Promise<number | null> {
  const folder = mkdtempSync(join(tmpdir(), 'hollowstack-test-'));
  t.after(() => rmSync(folder, {recursive: true}));
  const path = join(folder, 'settings.toml');
  writeFileSync(path, lines.join('\n'));
  const child = new ChildProcess([command, '--settings', path]);
  t.after(() => child.send('SIGKILL'));
  return child.exited;
}

test('an entry instance whose address is in use exits with the code for bad input', async t => {
  const occupiedAddress = await listenOnFreePort(t);
  const [peerAddress] = await findFreeAddresses(1);
  const exitCode = await runWithSettings(t, 'entry', [
    INSTANCE,
    PEERS,
    `listen = {address = "${occupiedAddress}", peerAddress = "${peerAddress}"}`,
    'platform = {address = "127.0.0.1:9"}',
    'operators = {keys = ["secret-of-these-tests"]}',
  ]);
  assert.equal(exitCode, BAD_INPUT_EXIT_CODE);
});

test('a gateway whose address is in use exits with the code for bad input', async t => {
  const occupiedAddress = await listenOnFreePort(t);
  const [probeAddress, peerAddress] = await findFreeAddresses(2);
  const exitCode = await runWithSettings(t, 'gateway', [
    INSTANCE,
    PEERS,
    `listen = {address = "${occupiedAddress}", probeAddress = "${probeAddress}", peerAddress = "${peerAddress}"}`,
    'store = {address = "127.0.0.1:9"}',
  ]);
  assert.equal(exitCode, BAD_INPUT_EXIT_CODE);
});
