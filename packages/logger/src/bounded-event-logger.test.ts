import assert from 'node:assert/strict';
import {test} from 'node:test';
import {
  BoundedEventLogger,
  EventLogger,
  type EventFields,
  type EventName,
} from './index.ts';

class RecordingLogger extends EventLogger {
  readonly lines: Array<{name: EventName; fields: EventFields}> = [];

  logEvent(name: EventName, fields: EventFields = {}): void {
    this.lines.push({name, fields});
  }
}

test('a burst stays within the limit, warnings are dropped last and drops are counted', () => {
  let nowMs = 0;
  const target = new RecordingLogger();
  const logger = new BoundedEventLogger(target, () => nowMs, {
    linesPerSecond: 10,
    burst: 20,
    backlogBytes: 1000,
  });
  for (let line = 0; line < 100; line++) logger.logEvent('request.settled');
  const infoLineCount = target.lines.length;
  assert.ok(infoLineCount >= 10 && infoLineCount <= 11, `${infoLineCount}`);
  logger.logEvent('attempt.failed');
  const names = target.lines.map(({name}) => name);
  assert.equal(names.at(-2), 'attempt.failed');
  assert.equal(names.at(-1), 'log.omitted');
  assert.deepEqual(target.lines.at(-1)?.fields, {
    'request.settled': 100 - infoLineCount,
  });
  for (let line = 0; line < 100; line++) logger.logEvent('attempt.failed');
  assert.ok(target.lines.length <= 20);
  nowMs = 10_000;
  logger.logEvent('request.settled');
  assert.equal(target.lines.at(-1)?.name, 'log.omitted');
});

test('events are dropped and counted while the reader of the output lags behind', () => {
  let backlogBytes = 0;
  const target = new RecordingLogger();
  const logger = new BoundedEventLogger(
    target,
    () => 0,
    {linesPerSecond: 10, burst: 100, backlogBytes: 1000},
    () => backlogBytes,
  );
  logger.logEvent('request.settled');
  backlogBytes = 1000;
  logger.logEvent('attempt.failed');
  assert.equal(target.lines.length, 1);
  backlogBytes = 0;
  logger.logEvent('request.settled');
  assert.deepEqual(target.lines.at(-1), {
    name: 'log.omitted',
    fields: {'attempt.failed': 1},
  });
});
