import assert from 'node:assert/strict';
import {test} from 'node:test';
import {TslogEventLogger} from './index.ts';

test('a JSON line contains message, level, time, event and instance exactly once', () => {
  const lines: string[] = [];
  const logger = new TslogEventLogger('i-1', 'info', 'json', line =>
    lines.push(line),
  );
  logger.logEvent('entry.ready', {revision: 3, reason: undefined});
  logger.logEvent('request.internal', {stack: 'a\nb'});
  const [ready, internal] = lines.map(line => JSON.parse(line));
  const {time, ...rest} = ready;
  assert.ok(Math.abs(Date.parse(time) - Date.now()) < 60_000);
  assert.deepEqual(rest, {
    message: 'instance takes requests',
    level: 'INFO',
    event: 101,
    name: 'entry.ready',
    instance: 'i-1',
    revision: 3,
  });
  assert.equal(internal.level, 'ERROR');
  assert.equal(internal.stack, 'a\nb');
  assert.equal(lines[1].includes('\n'), false);
});

test('events below the configured level are not logged', () => {
  const lines: string[] = [];
  const logger = new TslogEventLogger('i-1', 'warn', 'json', line =>
    lines.push(line),
  );
  logger.logEvent('entry.ready');
  logger.logEvent('entry.drain-late');
  assert.equal(lines.length, 1);
});
