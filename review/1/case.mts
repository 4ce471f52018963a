// Wrong bytes in one answer of an engine must not end the process that receives them. See
// claim.txt.
import type {ServerResponse} from 'node:http';
import type {Socket} from 'node:net';
import type {CallerAnswer} from '../harness/caller.mts';
import {Balancer, Deployment, type Machine} from '../harness/deployment.mts';
import {Engine, type EngineRun} from '../harness/engine.mts';
import {KeptClient} from '../harness/kept-client.mts';
import {Recorder} from '../harness/recorder.mts';
import {waitMs} from '../harness/waiting.mts';

/** Zones of the machines, as on the sheet. */
const MACHINE_ZONES = ['a', 'a', 'a', 'a', 'b', 'b', 'c', 'c', 'c'].map(
  zone => `lima-${zone}`,
);
/** Zones of the engines of each service. */
const ENGINE_ZONES = ['a', 'b', 'c', 'a', 'b', 'c'].map(zone => `lima-${zone}`);
/** The first engines of each service hand out wrong bytes: a share of 0.33. */
const GARBLING_ENGINES = 2;
/** Of the answers of such an engine, one in this many is spoilt: x = 0.02. */
const SPOILT_EVERY = 50;
const GARBLE_MS = 5500;
const GARBLE_INTERVAL_MS = 10_000;
const FIRST_GARBLE_MS = 8000;
const GARBLES = 9;
const LENGTH_MS = FIRST_GARBLE_MS + GARBLES * GARBLE_INTERVAL_MS - 4000;
const CLIENTS = 84;
/** Mean pause of a client between an answer and its next request. */
const PAUSE_MS = 800;
const DEADLINE_MS = 3000;
const STREAM_DEADLINE_MS = 8000;
const FIRST_EVENT_MS = 400;
const EVENTS = 10;
const EVENT_PAUSE_MS = 40;
const CONTACT_MS = 3000;
/** The rule allows three. */
const ALLOWED_LOSSES = 3;

const hasTrouble = process.env['TROUBLE'] !== '0';
const recorder = new Recorder('review/1/record.txt');
let isGarbling = false;
let spoiltCount = 0;
/** When each process last started, by its machine, in milliseconds of the record. */
const startedAtMs = new Map<string, number>();
const ends = new Map<string, number>();

interface Call {
  readonly attemptId: string;
  readonly machine: Machine;
  readonly wasKept: boolean;
  readonly answer: CallerAnswer;
}

function createConfiguration(): object {
  const route = (name: string, path: string, fields: object) => ({
    name,
    hostname: 'volo10.example',
    path_prefix: path,
    timeout_ms: DEADLINE_MS,
    target_latency_ms: 300,
    priority: 2,
    max_attempts: 1,
    phases: [],
    public: true,
    session_affinity: false,
    stream_resumption: false,
    ...fields,
  });
  return {
    config_revision: 7,
    routes: [
      route('r-booking', '/vocu763/', {
        type: 'non_idempotent',
        backend: 'agenda',
      }),
      route('r-summary', '/cuti101/', {
        type: 'streaming',
        backend: 'asistente',
        timeout_ms: STREAM_DEADLINE_MS,
        target_latency_ms: 1600,
        target_itl_ms: 200,
      }),
    ],
    backends: [
      {name: 'agenda', health_check: '/healthz', max_connections: 110},
      {name: 'asistente', health_check: '/healthz', max_connections: 370},
    ],
    limits: {
      max_header_bytes: 16384,
      max_body_bytes: 4194304,
      header_timeout_ms: 3000,
      idle_timeout_ms: 15000,
    },
  };
}

/**
 * Begins an answer with wrong bytes in place of its reason, which is no answer of the protocol,
 * though it is whole otherwise. Returns the socket for the body.
 */
function beginSpoiltAnswer(
  run: EngineRun,
  outgoing: ServerResponse,
  length: number,
): Socket {
  spoiltCount += 1;
  recorder.write(
    `engine ${run.engineId} spoils its answer to ${run.attemptId}`,
  );
  const head = [
    'HTTP/1.1 200 \x01\x8f\x02',
    `Attempt-Id: ${run.attemptId}`,
    `Response-Signature: ${run.engineId}.${run.attemptId}`,
    `Content-Length: ${length}`,
    'Connection: close',
  ];
  const socket = outgoing.socket!;
  socket.write(`${head.join('\r\n')}\r\n\r\n`, 'latin1');
  return socket;
}

async function serveBooking(
  run: EngineRun,
  outgoing: ServerResponse,
  isSpoilt: boolean,
): Promise<void> {
  await waitMs(85);
  const body = Buffer.alloc(800, 'x');
  if (isSpoilt) {
    beginSpoiltAnswer(run, outgoing, body.length).end(body);
    return;
  }
  outgoing
    .writeHead(200, {
      'Attempt-Id': run.attemptId,
      'Response-Signature': `${run.engineId}.${run.attemptId}`,
      'Content-Length': '800',
    })
    .end(body);
  run.isAnswered = true;
}

async function serveStream(
  run: EngineRun,
  outgoing: ServerResponse,
  isSpoilt: boolean,
): Promise<void> {
  await waitMs(FIRST_EVENT_MS);
  const events = Array.from(
    {length: EVENTS},
    (_, index) => `id: ${index + 1}\ndata: ${index + 1}\n\n`,
  );
  const target = isSpoilt
    ? beginSpoiltAnswer(run, outgoing, events.join('').length)
    : outgoing.writeHead(200, {
        'Attempt-Id': run.attemptId,
        'Response-Signature': `${run.engineId}.${run.attemptId}`,
        'Content-Type': 'text/event-stream',
      });
  for (const event of events) {
    if (target.destroyed) return;
    target.write(event);
    await waitMs(EVENT_PAUSE_MS);
  }
  target.end();
  run.isAnswered = true;
}

function createEngine(service: string, index: number): Engine {
  let answers = 0;
  return new Engine({
    id: `i-${service}${index + 1}`,
    service,
    failureDomain: ENGINE_ZONES[index],
    capacity: service === 'agenda' ? 6 : 64,
    recorder,
    serve: (run, _incoming, outgoing) => {
      const isFaulty = isGarbling && index < GARBLING_ENGINES;
      if (isFaulty) answers += 1;
      const isSpoilt = isFaulty && answers % SPOILT_EVERY === 0;
      return service === 'agenda'
        ? serveBooking(run, outgoing, isSpoilt)
        : serveStream(run, outgoing, isSpoilt);
    },
  });
}

/** Starts a process again whenever it has ended, as the platform does. */
async function keepRunning(
  deployment: Deployment,
  machine: Machine,
  isOver: () => boolean,
): Promise<void> {
  for (;;) {
    startedAtMs.set(machine.id, recorder.getNow());
    const {process} = machine;
    await process.waitForExit();
    if (isOver()) return;
    ends.set(machine.id, (ends.get(machine.id) ?? 0) + 1);
    recorder.write(`the process of ${machine.id} ended: ${process.getExit()}`);
    await deployment.restart(machine);
  }
}

function findLosses(
  calls: readonly Call[],
  engines: readonly Engine[],
): string[] {
  const runs = new Map(
    engines.flatMap(engine => engine.runs).map(run => [run.attemptId, run]),
  );
  const faulty = new Set(
    engines
      .filter((_, index) => index % ENGINE_ZONES.length < GARBLING_ENGINES)
      .map(({options}) => options.id),
  );
  return calls.flatMap(({attemptId, machine, wasKept, answer}) => {
    const run = runs.get(attemptId);
    if (!wasKept || answer.status !== 0 || answer.end === 'given up') return [];
    if (!run || faulty.has(run.engineId)) return [];
    return [
      `${attemptId} on a kept connection to ${machine.id}, which had passed it on to the sound ${run.engineId}: no answer, connection ${answer.end}`,
    ];
  });
}

async function runCase(deployment: Deployment): Promise<number> {
  await deployment.startStore(createConfiguration());
  for (const service of ['agenda', 'asistente']) {
    for (let index = 0; index < ENGINE_ZONES.length; index++) {
      await deployment.addEngine(createEngine(service, index));
    }
  }
  await deployment.startMachines(MACHINE_ZONES);
  let isOver = false;
  for (const machine of deployment.machines) {
    void keepRunning(deployment, machine, () => isOver);
  }
  const balancer = new Balancer(deployment.machines);
  balancer.start();
  const calls: Call[] = [];
  const counts = new Map<string, number>();
  let number = 1;
  const beganAtMs = recorder.getNow();
  const isLate = () => recorder.getNow() - beganAtMs >= LENGTH_MS;
  const runClient = async (index: number) => {
    const client = new KeptClient();
    await waitMs(Math.random() * PAUSE_MS);
    while (!isLate()) {
      const attemptId = (number++).toString(16).padStart(16, '0');
      const address = client.getAddress();
      const machine =
        deployment.machines.find(
          ({addresses}) => addresses.frontend === address,
        ) ?? balancer.choose(index * 7 + number);
      const sinceStartMs = recorder.getNow() - startedAtMs.get(machine.id)!;
      const isInTouch = sinceStartMs >= CONTACT_MS;
      const isBooking = index % 4 === 0;
      recorder.write(`client ${index} sends ${attemptId} to ${machine.id}`);
      const {answer, wasKept} = await client.sendRequest({
        address: machine.addresses.frontend,
        method: 'POST',
        path: isBooking ? '/vocu763/2f' : '/cuti101/2f',
        host: 'volo10.example',
        attemptId,
        deadlineMs: isBooking ? DEADLINE_MS : STREAM_DEADLINE_MS,
        body: Buffer.from(`request ${attemptId}`),
      });
      const completeness = answer.isComplete ? 'complete' : 'not complete';
      const kind = `${answer.status} ${completeness}`;
      counts.set(kind, (counts.get(kind) ?? 0) + 1);
      recorder.write(
        `client ${index} gets ${attemptId}: ${kind}, connection ${wasKept ? 'kept before' : 'new'}, ${answer.end}`,
      );
      if (isInTouch) calls.push({attemptId, machine, wasKept, answer});
      await waitMs(PAUSE_MS * (0.5 + Math.random()));
    }
    client.close();
  };
  const garble = async () => {
    await waitMs(FIRST_GARBLE_MS);
    while (!isLate()) {
      isGarbling = true;
      await waitMs(GARBLE_MS);
      isGarbling = false;
      await waitMs(GARBLE_INTERVAL_MS - GARBLE_MS);
    }
  };
  if (hasTrouble) void garble();
  await Promise.all(
    Array.from({length: CLIENTS}, (_, index) => runClient(index)),
  );
  isOver = true;
  balancer.stop();
  const outcomes = [...counts].map(([kind, count]) => `${kind}: ${count}`);
  recorder.report(`${number - 1} requests; ${outcomes.join('; ')}`);
  recorder.report(`${spoiltCount} answers were spoilt`);
  for (const [id, count] of ends) {
    recorder.report(
      `Fault: the process of ${id} ended by itself ${count} times`,
    );
  }
  const losses = findLosses(calls, deployment.engines);
  for (const loss of losses) recorder.write(`LOST: ${loss}`);
  recorder.report(
    `LOST: ${losses.length} requests of kept connections (${ALLOWED_LOSSES} allowed)`,
  );
  if (counts.get('200 complete') === undefined) return 2;
  return losses.length > ALLOWED_LOSSES ? 1 : 0;
}

const deployment = new Deployment(recorder, {
  drainMs: 2000,
  propagationMs: 2000,
  graceSeconds: 8,
  retryBudgetRatio: 0.2,
  retryWindowSeconds: 10,
  retryBurst: 58,
});
let exitCode = 2;
try {
  exitCode = await runCase(deployment);
} catch (error) {
  recorder.report(`the case could not run: ${String(error)}`);
} finally {
  await deployment.stop();
  recorder.report(`exit ${exitCode}`);
  await recorder.close();
}
process.exit(exitCode);
