import assert from 'node:assert/strict';
import {test} from 'node:test';
import {ManualClock} from '@hollowstack/clock';
import {
  AsyncQueue,
  HttpClient,
  readBody,
  type HttpResponse,
} from '@hollowstack/transport';
import {Attempt, type AttemptMonitor} from './attempt.ts';

const CALL = {
  method: 'POST',
  path: '/v1/completions',
  headers: {},
  body: new Uint8Array(0),
};

// Timeouts are computed from measured durations, so their fractions may lie
// below the resolution of the clock's timestamps.
const SILENCE_MS = 250.1234;

class QueueClient extends HttpClient {
  readonly body = new AsyncQueue<Uint8Array>();

  async send(): Promise<HttpResponse> {
    return {status: 200, headers: {}, body: this.body};
  }
}

function createMonitor(getLastActivityAtMs: () => number): AttemptMonitor {
  return {
    silenceMs: SILENCE_MS,
    getLastActivityAtMs,
    recordChunk: () => {},
  };
}

async function readAnswer(
  clock: ManualClock,
  client: QueueClient,
  getLastActivityAtMs: () => number,
): Promise<string> {
  const attempt = new Attempt(
    client,
    clock,
    'attempt-1',
    createMonitor(getLastActivityAtMs),
    new AbortController().signal,
  );
  const response = await attempt.send('127.0.0.1:1', CALL);
  return readBody(response.body).then(
    body => body.toString('utf8'),
    (error: Error) => error.message,
  );
}

test('a remaining timeout below the resolution of the clock does not make the check loop forever', async () => {
  for (let offsetMs = 0.01; offsetMs < 3; offsetMs += 0.0371) {
    const clock = new ManualClock(1_800_000_000_000.3333);
    const client = new QueueClient();
    const answer = readAnswer(clock, client, () => 0);
    await clock.advance(offsetMs);
    client.body.push(Buffer.from('token'));
    await clock.advance(1000);
    client.body.end();
    assert.match(await clock.advanceUntil(answer, 1000), /no byte for 25\d ms/);
  }
});

class RefusingClient extends HttpClient {
  private readonly retryAfter: string;

  constructor(retryAfter: string) {
    super();
    this.retryAfter = retryAfter;
  }

  async send(): Promise<HttpResponse> {
    const headers = {'x-not-run': 'true', 'retry-after': this.retryAfter};
    return {status: 503, headers, body: new AsyncQueue<Uint8Array>()};
  }
}

test('a refusal carries the bounded back-off of its retry-after header, or none if the header is unreadable', async () => {
  const cases = [
    ['2.5', 2500],
    ['86400', 60_000],
    ['soon', undefined],
  ] as const;
  for (const [value, retryAfterMs] of cases) {
    const attempt = new Attempt(
      new RefusingClient(value),
      new ManualClock(),
      'attempt-1',
      createMonitor(() => 0),
      new AbortController().signal,
    );
    await assert.rejects(attempt.send('127.0.0.1:1', CALL), {
      failure: 'not-run',
      retryAfterMs,
    });
    attempt.close();
  }
});

test('an attempt that waits at an upstream which answers other requests is not cancelled', async () => {
  const clock = new ManualClock();
  const client = new QueueClient();
  const answer = readAnswer(clock, client, () => clock.getNow());
  await clock.advance(5000);
  client.body.push(Buffer.from('late but whole'));
  client.body.end();
  assert.equal(await clock.advanceUntil(answer, 1000), 'late but whole');
});
