import assert from 'node:assert/strict';
import {test} from 'node:test';
import {LoadLoop, ProcessFleet, type EntryProcess} from './index.ts';

const CALLERS = 8;
const ANSWERS_BETWEEN_REPLACEMENTS = 20;

test('a rolling replacement under load interrupts no request and each instance exits with 0', async t => {
  const fleet = new ProcessFleet({
    entries: 2,
    encoders: 1,
    retrievers: 1,
    rerankers: 1,
    engines: 2,
  });
  t.after(() => fleet.stop());
  await fleet.start();
  let nextIndex = 0;
  const inRotation = [...fleet.entries];
  const loop = new LoadLoop(
    CALLERS,
    () => inRotation[nextIndex++ % inRotation.length].caller,
  );
  for (const entry of [...fleet.entries]) {
    await loop.waitForAnswers(ANSWERS_BETWEEN_REPLACEMENTS);
    inRotation.push(await startReadyEntry(fleet));
    entry.process.send('SIGTERM');
    // The load balancer lags: it keeps sending until one of its readiness probes fails.
    while (await isReady(entry)) await loop.waitForAnswers(1);
    await loop.waitForAnswers(CALLERS);
    inRotation.splice(inRotation.indexOf(entry), 1);
    assert.equal(await entry.process.exited, 0);
  }
  await loop.stop();
  assert.deepEqual(loop.failures, []);
  assert.equal(loop.counts.interrupted, 0);
  assert.ok(loop.counts.answered >= 4 * ANSWERS_BETWEEN_REPLACEMENTS);
});

async function isReady({caller}: EntryProcess): Promise<boolean> {
  return (await caller.send('GET', '/readyz')).status === 200;
}

async function startReadyEntry(fleet: ProcessFleet): Promise<EntryProcess> {
  const entry = await fleet.startEntry();
  await fleet.waitUntilReady(entry.process);
  return entry;
}
