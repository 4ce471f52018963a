import assert from 'node:assert/strict';
import {after, before, test} from 'node:test';
import {setTimeout as waitMs} from 'node:timers/promises';
import {computeCompletion} from '@hollowstack/stand-ins';
import {
  ProcessFleet,
  type EntryProcess,
  type UpstreamProcess,
} from './index.ts';

const BOOKING = '/v1/workspaces/lima-centro/services/booking/bookings';
const fleet = new ProcessFleet({
  entries: 3,
  encoders: 1,
  retrievers: 1,
  rerankers: 1,
  engines: 2,
});

before(() => fleet.start());
after(() => fleet.stop());

interface StatusAnswer {
  readonly groups: ReadonlyArray<{
    readonly name: string;
    readonly upstreams: ReadonlyArray<{
      readonly id: string;
      readonly ownInFlight: number;
    }>;
  }>;
}

async function findBusyUpstream(
  entry: EntryProcess,
  pool: string,
): Promise<string> {
  while (true) {
    const {body} = await entry.caller.callOperator('GET', 'status');
    const group = (body as StatusAnswer).groups.find(({name}) => name === pool);
    const busy = group?.upstreams.find(({ownInFlight}) => ownInFlight > 0);
    if (busy) return busy.id;
  }
}

async function setSlowFactor(
  upstreams: readonly UpstreamProcess[],
  slowFactor: number,
): Promise<void> {
  for (const {control} of upstreams) {
    await control.send('POST', '/stand-in/faults', {slowFactor});
  }
}

async function getRunCount(
  booking: UpstreamProcess,
  body: object,
): Promise<number> {
  const answer = await booking.control.send('GET', '/stand-in/run-count', body);
  return (answer.body as {count: number}).count;
}

test('a stream whose engine is killed continues at another engine without lost or duplicate tokens', async () => {
  const [entry] = fleet.entries;
  // Slow enough that the stream is still running when the test has found its engine.
  await setSlowFactor(fleet.engines, 4);
  const streaming = entry.caller.runStreamedPipeline(
    'lima-centro',
    'summary',
    'deferrals of April',
  );
  const busy = await findBusyUpstream(entry, 'generate-pool');
  const engine = fleet.engines.find(({upstream}) => upstream.id === busy);
  engine?.process.send('SIGKILL');
  const remaining = fleet.engines.filter(other => other !== engine);
  await setSlowFactor(remaining, 1);
  const {text, end} = await streaming;
  assert.equal(text, computeCompletion('assistant', 'deferrals of April', 120));
  assert.notEqual(end, undefined);
});

test('a booking whose instance is killed runs at most once, and its retry is answered with an unknown outcome', async () => {
  const [, entry, other] = fleet.entries;
  const [booking] = fleet.bookings;
  const body = {donor: 'd-1', slot: 'mon-9'};
  const headers = {'idempotency-key': 'kill-1'};
  await booking.control.send('POST', '/stand-in/faults', {slowFactor: 60});
  const first = entry.caller.send('POST', BOOKING, body, headers).then(
    () => 'answered',
    () => 'broken',
  );
  await findBusyUpstream(entry, 'booking');
  entry.process.send('SIGKILL');
  assert.equal(await first, 'broken');
  fleet.removeEntry(entry);
  const resend = await other.caller.send('POST', BOOKING, body, headers);
  assert.equal(resend.problem?.kind, 'outcome-unknown');
  assert.equal(resend.problem?.ran, 'unknown');
  await booking.control.send('POST', '/stand-in/faults', {slowFactor: 1});
  assert.ok((await getRunCount(booking, body)) <= 1);
});

test('an instance that is paused past a deadline does not run the call late', async () => {
  const [, entry] = fleet.entries;
  const [booking] = fleet.bookings;
  const body = {donor: 'd-2', slot: 'tue-9'};
  entry.process.send('SIGSTOP');
  const late = entry.caller.send('POST', BOOKING, body, {
    'idempotency-key': 'freeze-1',
    'hollowstack-deadline-ms': '300',
  });
  // The pause under test; it must outlast the deadline.
  await waitMs(1000);
  entry.process.send('SIGCONT');
  const answer = await late;
  if (answer.status === 200) {
    // The instance read the request after the pause, so its deadline started then.
    assert.equal(await getRunCount(booking, body), 1);
  } else {
    assert.equal(answer.problem?.ran, 'no');
    assert.equal(await getRunCount(booking, body), 0);
  }
});

test('during a platform outage traffic continues, calls with idempotency keys are rejected as not run, and a new instance starts from its peers', async t => {
  const [entry] = fleet.entries;
  await fleet.setPlatformFaults({isDown: true});
  t.after(() => fleet.setPlatformFaults({isDown: false}));
  const chat = await entry.caller.runPipeline('lima-centro', 'chat', 'outage?');
  assert.equal(chat.status, 200);
  const unkeyed = await entry.caller.send('POST', BOOKING, {donor: 'd-3'});
  assert.equal(unkeyed.status, 200);
  const body = {donor: 'd-4'};
  const keyed = await entry.caller.send('POST', BOOKING, body, {
    'idempotency-key': 'outage-1',
    'hollowstack-deadline-ms': '500',
  });
  assert.equal(keyed.problem?.ran, 'no');
  assert.ok(Number(keyed.headers['retry-after']) >= 1);
  assert.equal(await getRunCount(fleet.bookings[0], body), 0);
  const started = await fleet.startEntry();
  await fleet.waitUntilReady(started.process);
  const fresh = await started.caller.runPipeline(
    'lima-centro',
    'chat',
    'outage, fresh',
  );
  assert.equal(fresh.status, 200);
});
