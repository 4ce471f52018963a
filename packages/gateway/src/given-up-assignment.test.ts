// Guards against engines that stay reserved for requests which were given up before they were sent.
import assert from 'node:assert/strict';
import {test} from 'node:test';
import {AttemptRunner, type AttemptRunnerParts} from './attempt-runner.ts';
import type {RoutedRequest} from './routed-request.ts';

test('an engine that was chosen for a request is released if the request was given up meanwhile', async () => {
  const controller = new AbortController();
  const released: string[] = [];
  const parts = {
    quarantine: {isIsolated: () => false, checkRequest: async () => {}},
    chooser: {
      choose: async () => {
        controller.abort(new Error('the caller has gone'));
        return {id: 'e1'};
      },
      recordUnsent: (_: RoutedRequest, id: string) => released.push(id),
    },
  };
  const runner = new AttemptRunner(parts as unknown as AttemptRunnerParts);
  const request = {
    signal: controller.signal,
    presence: {},
    sentTo: [],
    facts: {route: {maxAttempts: 2}},
  };
  const running = runner.run(request as unknown as RoutedRequest, {
    promptParts: [],
    inputBytesByDomain: new Map(),
    inputs: undefined,
    excluded: new Set(),
  });
  await assert.rejects(running, /the caller has gone/);
  assert.deepEqual(released, ['e1']);
});
