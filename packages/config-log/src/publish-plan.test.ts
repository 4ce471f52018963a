import assert from 'node:assert/strict';
import {test} from 'node:test';
import {configObjectSchema, type ConfigObject} from '@hollowstack/types';
import {
  assemblePublishPlan,
  assembleRestorePlan,
  checkConfiguration,
  createEmptySnapshot,
  parseConfigurationToml,
  renderConfigurationToml,
  type PublishRequest,
} from './index.ts';

const AT_MS = 1_800_000_000_000;

function createPool(name: string, expectedMs = 10): ConfigObject {
  return configObjectSchema.parse({
    kind: 'pool',
    value: {
      name,
      stage: 'encode',
      expectedMs,
      upstreams: [{id: 'u-1', address: '127.0.0.1:9001', failureDomain: 'a'}],
    },
  });
}

function createRequest(
  changeId: string,
  baseRevision: number,
  objects: ConfigObject[],
  removals: string[] = [],
): PublishRequest {
  return {changeId, author: 'ana', baseRevision, objects, removals};
}

const first = assemblePublishPlan(
  createEmptySnapshot(),
  createRequest('c-1', 0, [createPool('left'), createPool('right')]),
  0,
  AT_MS,
);
const second = assemblePublishPlan(
  first.next,
  createRequest('c-2', 1, [createPool('left', 20)]),
  1,
  AT_MS,
);

test('a plan writes only the changed objects', t => {
  t.assert.snapshot({head: second.head, record: second.record});
  assert.equal(second.writes.length, 1);
});

test('changes to different objects from the same base revision do not conflict', () => {
  const plan = assemblePublishPlan(
    second.next,
    createRequest('c-3', 1, [createPool('right', 30)]),
    2,
    AT_MS,
  );
  assert.equal(plan.head.revision, 3);
});

test('a conflict names the object that another operator has changed', () => {
  assert.throws(
    () =>
      assemblePublishPlan(
        second.next,
        createRequest('c-3', 1, [createPool('left', 30)]),
        2,
        AT_MS,
      ),
    {
      kind: 'configuration-conflict',
      message: 'changed since revision 1: pool/left (revision 2)',
    },
  );
});

test('publishing the same content again gives an empty plan', () => {
  const plan = assemblePublishPlan(
    second.next,
    createRequest('c-3', 2, [createPool('left', 20)]),
    2,
    AT_MS,
  );
  assert.equal(plan.isEmpty, true);
});

test('nothing is published to a store that is behind the revision in force', () => {
  assert.throws(
    () =>
      assemblePublishPlan(
        first.next,
        createRequest('c-3', 1, [createPool('left', 30)]),
        2,
        AT_MS,
      ),
    {kind: 'configuration-behind'},
  );
});

test('a restore plan writes the configuration in force with a revision above both', () => {
  const plan = assembleRestorePlan(
    first.next,
    second.next,
    {changeId: 'c-4', author: 'ana'},
    AT_MS,
  );
  assert.equal(plan.head.revision, 3);
  assert.deepEqual(plan.next.objects, second.next.objects);
});

test('findings name the faulty value and how to correct it', t => {
  const objects = parseConfigurationToml(
    `
[[pool]]
name = "encoders"
stage = "encode"
expectedMs = 80
upstreams = [
  {id = "e-1", address = "10.0.0.1:80", failureDomain = "a"},
  {id = "e-1", address = "10.0.0.1:80", failureDomain = "b"},
]

[[template]]
name = "chat"
stages = [
  {name = "rank", kind = "rerank", pool = "rankers"},
  {name = "encode", kind = "retrieve", pool = "encoders"},
]

[[workspace]]
name = "lima"
services = ["booking"]
[workspace.pipelines.chat]
template = "chat"
deadlineMs = 50
model = "m"
[workspace.pipelines.other]
template = "missing"
deadlineMs = 50
model = "m"
`,
    'example.toml',
  ).objects;
  t.assert.snapshot(checkConfiguration(objects));
});

test('parse errors name the line or key', t => {
  const files = {
    syntax: '[[pool]\nname = "x"',
    'unknown key': '[[pool]]\nname = "x"\nstage = "encode"\nspeed = 3',
    'host name':
      '[[pool]]\nname = "x"\nstage = "encode"\nupstreams = [{id = "u", address = "host:80", failureDomain = "a"}]',
    'unknown table': '[[pools]]\nname = "x"',
  };
  const messages = Object.entries(files).map(([name, text]) => {
    try {
      parseConfigurationToml(text, 'example.toml');
      return {name, message: 'accepted'};
    } catch (error) {
      return {name, message: String(error)};
    }
  });
  t.assert.snapshot(messages);
});

test('a rendered file parses to the same objects', () => {
  const {objects} = second.next;
  const text = renderConfigurationToml(objects, 2);
  const parsed = parseConfigurationToml(text, 'rendered.toml');
  assert.equal(parsed.baseRevision, 2);
  assert.deepEqual(
    parsed.objects.map(({value}) => value.name).sort(),
    objects.map(({value}) => value.name).sort(),
  );
});
