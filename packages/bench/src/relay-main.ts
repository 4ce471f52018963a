import {SystemClock} from '@hollowstack/clock';
import {
  SystemCaller,
  createSampleConfiguration,
} from '@hollowstack/local-system';
import {LatencyHistogram} from '@hollowstack/metrics';
import {ProcessFleet} from '@hollowstack/process-fleet';
import {NodeHttpClient, readBody, sendJson} from '@hollowstack/transport';
import type {ConfigObject} from '@hollowstack/types';

// npm run relay: measures the latency that an entry adds to a direct call of the
// same stand-in, and its processor time per relayed token. The entry, the
// stand-ins and the callers are separate processes.
const REQUESTS_PER_SECOND = 200;
const LATENCY_SECONDS = 5;
const STREAM_COUNT = 64;
const TOKENS_PER_STREAM = 2000;
const IDLE_SECONDS = 10;

const fleet = new ProcessFleet({
  entries: 1,
  encoders: 1,
  retrievers: 1,
  rerankers: 1,
  engines: 2,
  engineArguments: [
    ...['--max-running', String(STREAM_COUNT), '--step-ms', '1'],
    ...['--per-sequence-ms', '0'],
  ],
});
const clock = new SystemClock();
const client = new NodeHttpClient();
try {
  await fleet.start();
  await fleet.publish(createObjects());
  const {caller} = fleet.entries[0];
  await measureAddedLatency(caller);
  await measureTokens(caller);
  await measureIdle(caller);
} finally {
  client.close();
  await fleet.stop();
}

function createObjects(): ConfigObject[] {
  const objects = createSampleConfiguration(fleet.getUpstreams());
  return [...objects.map(applyLongStreams), ...createTemplates()];
}

function applyLongStreams(object: ConfigObject): ConfigObject {
  if (object.kind === 'pool') {
    return {
      ...object,
      value: {...object.value, concurrencyPerUpstream: STREAM_COUNT},
    };
  }
  if (object.kind !== 'workspace') return object;
  const {chat} = object.value.pipelines;
  const pipelines = {
    ...object.value.pipelines,
    embed: {...chat, template: 'embed', deadlineMs: 2000},
    long: {
      ...chat,
      template: 'long',
      deadlineMs: 60_000,
      maxTokens: TOKENS_PER_STREAM,
    },
  };
  return {...object, value: {...object.value, pipelines}};
}

function createTemplates(): ConfigObject[] {
  return (['encode', 'generate'] as const).map(kind => ({
    kind: 'template',
    value: {
      name: kind === 'encode' ? 'embed' : 'long',
      stages: [{name: kind, kind, pool: `${kind}-pool`, top: 8}],
    },
  }));
}

async function measureAddedLatency(caller: SystemCaller): Promise<void> {
  const encoder = fleet.getUpstreams().encode[0].address;
  const callThroughEntry = () =>
    caller.runPipeline('lima-centro', 'embed', 'hello');
  const callDirectly = async () => {
    const response = await sendJson(
      client,
      encoder,
      '/v1/embeddings',
      {model: 'assistant', input: ['hello']},
      new AbortController().signal,
    );
    await readBody(response.body);
  };
  await runAtRate(callThroughEntry);
  const directTimes = await runAtRate(callDirectly);
  const throughTimes = await runAtRate(callThroughEntry);
  console.log('| call | p50 ms | p99 ms |\n| --- | --- | --- |');
  for (const [name, times] of [
    ['direct', directTimes],
    ['through an entry', throughTimes],
  ] as const) {
    const {p50Ms, p99Ms} = times.getSummary();
    console.log(`| ${name} | ${p50Ms.toFixed(2)} | ${p99Ms.toFixed(2)} |`);
  }
}

async function runAtRate(
  sendOne: () => Promise<unknown>,
): Promise<LatencyHistogram> {
  const times = new LatencyHistogram();
  const count = REQUESTS_PER_SECOND * LATENCY_SECONDS;
  const startMs = clock.getNow() + 100;
  const pendingCalls = Array.from(
    {length: count},
    (_, number) =>
      new Promise<void>((resolve, reject) => {
        const intendedMs = startMs + (number * 1000) / REQUESTS_PER_SECOND;
        clock.schedule(intendedMs - clock.getNow(), () => {
          const sentMs = clock.getNow();
          sendOne().then(() => {
            times.recordMs(clock.getNow() - sentMs);
            resolve();
          }, reject);
        });
      }),
  );
  await Promise.all(pendingCalls);
  return times;
}

async function measureTokens(caller: SystemCaller): Promise<void> {
  const before = await readProcessMetrics(caller);
  const startedMs = clock.getNow();
  const answers = await Promise.all(
    Array.from({length: STREAM_COUNT}, (_, number) =>
      caller.runStreamedPipeline('lima-centro', 'long', `stream ${number}`),
    ),
  );
  const seconds = (clock.getNow() - startedMs) / 1000;
  const after = await readProcessMetrics(caller);
  const completeCount = answers.filter(({end}) => end !== undefined).length;
  const tokens = completeCount * TOKENS_PER_STREAM;
  const processorSeconds = after.processorSeconds - before.processorSeconds;
  console.log(
    `${completeCount} of ${STREAM_COUNT} streams complete, ${tokens} tokens in ${seconds.toFixed(2)} s`,
  );
  console.log(
    `entry: ${((processorSeconds * 1e6) / tokens).toFixed(1)} us of processor time per token, that is ${(tokens / processorSeconds).toFixed(0)} tokens/s on one core`,
  );
}

async function measureIdle(caller: SystemCaller): Promise<void> {
  const before = await readProcessMetrics(caller);
  await new Promise(resolve => setTimeout(resolve, IDLE_SECONDS * 1000));
  const after = await readProcessMetrics(caller);
  const share =
    (after.processorSeconds - before.processorSeconds) / IDLE_SECONDS;
  console.log(
    `idle entry: ${(share * 100).toFixed(2)} % of a core, ${(after.residentBytes / 1e6).toFixed(0)} MB resident`,
  );
}

async function readProcessMetrics(
  caller: SystemCaller,
): Promise<{processorSeconds: number; residentBytes: number}> {
  const text = await caller.readText('/metrics');
  const findValue = (name: string) =>
    Number(new RegExp(`^${name} (.+)$`, 'm').exec(text)?.[1]);
  return {
    processorSeconds: findValue('process_cpu_seconds_total'),
    residentBytes: findValue('process_resident_memory_bytes'),
  };
}
