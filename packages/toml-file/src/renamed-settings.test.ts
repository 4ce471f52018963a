import assert from 'node:assert/strict';
import {test} from 'node:test';
import {parseToml} from './index.ts';

test('a setting with an old name is rejected with an error that gives the new name', () => {
  assert.throws(
    () => parseToml('[instance]\nid = "a"\nzone = "b"\n', 'gateway.toml'),
    /gateway\.toml: instance\.zone: this setting is called failureDomain now/,
  );
  assert.throws(
    () => parseToml('upstreams = [{id = "u", zone = "b"}]', 'pools.toml'),
    /upstreams\.0\.zone: .* failureDomain/,
  );
});
