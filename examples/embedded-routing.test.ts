import {test} from 'node:test';
import {
  LocalSystem,
  LoopbackNetwork,
  createSeededRandom,
} from '@hollowstack/local-system';
import {runEmbedded} from './embedded-routing.ts';

test('an embedding program reads the configuration, chooses an upstream, judges a deadline and computes shares', async t => {
  const system = new LocalSystem(new LoopbackNetwork(), {
    instances: 1,
    encoders: 1,
    retrievers: 1,
    rerankers: 1,
    engines: 1,
    bookings: 1,
    random: createSeededRandom(3),
  });
  t.after(() => system.stop());
  await system.start();
  await system.publish();
  const {platform} = system.instances[0].settings;
  t.assert.snapshot(await runEmbedded(platform.address));
});
