import assert from 'node:assert/strict';
import {test} from 'node:test';
import {computeChatAnswer} from '@hollowstack/stand-ins';
import {ProcessFleet} from './index.ts';

test('separate processes serve a request end to end, with and without streaming', async t => {
  const fleet = new ProcessFleet({
    entries: 2,
    encoders: 2,
    retrievers: 2,
    rerankers: 2,
    engines: 2,
  });
  t.after(() => fleet.stop());
  await fleet.start();
  const expected = computeChatAnswer('assistant', 'who needs O negative?', 24);
  for (const {caller} of fleet.entries) {
    const unstreamed = await caller.runPipeline(
      'lima-centro',
      'chat',
      'who needs O negative?',
    );
    assert.equal(unstreamed.status, 200, JSON.stringify(unstreamed.body));
    const {output} = unstreamed.body as {output: {text: string}};
    assert.equal(output.text, expected);
    const streamed = await caller.runStreamedPipeline(
      'lima-centro',
      'chat',
      'who needs O negative?',
    );
    assert.equal(streamed.text, expected);
    assert.notEqual(streamed.end, undefined);
  }
});
