// Guards against requests that keep a busy coordinator from its work.
import {ManualClock} from '@hollowstack/clock';
import {createSeededRandom} from '@hollowstack/local-system';
import assert from 'node:assert/strict';
import {test} from 'node:test';
import {AdmissionThrottle} from './admission-throttle.ts';

const INTERVAL_MS = 10;

/** Counts the requests that are sent in ten seconds to a coordinator that answers some of them. */
async function countSent(answersPerSecond: number): Promise<number> {
  const clock = new ManualClock();
  const random = createSeededRandom(1);
  const throttle = new AdmissionThrottle({clock, random});
  let sentCount = 0;
  let answerable = 0;
  for (let passedMs = 0; passedMs < 10_000; passedMs += INTERVAL_MS) {
    answerable = Math.min(
      1,
      answerable + (answersPerSecond * INTERVAL_MS) / 1000,
    );
    if (throttle.maySend('c')) {
      sentCount += 1;
      const isAnswered = answerable >= 1;
      if (isAnswered) answerable -= 1;
      throttle.recordOutcome('c', isAnswered);
    }
    await clock.advance(INTERVAL_MS);
  }
  return sentCount;
}

test('a coordinator that answers all requests gets all of them', async () => {
  assert.equal(await countSent(1000), 1000);
});

test('a coordinator that answers a tenth of the requests gets about as many as it answers', async () => {
  const sentCount = await countSent(10);
  assert.ok(sentCount >= 50 && sentCount <= 250, `${sentCount} sent`);
});

test('a coordinator that answers nothing is still asked now and then', async () => {
  const sentCount = await countSent(0);
  assert.ok(sentCount >= 5 && sentCount <= 30, `${sentCount} sent`);
});
