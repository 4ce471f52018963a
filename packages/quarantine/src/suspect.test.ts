import fc from 'fast-check';
import assert from 'node:assert/strict';
import {test} from 'node:test';
import {
  countSequentialCrashes,
  hasChanged,
  mergeSuspects,
  recordServed,
  type Suspect,
  type UpstreamCrash,
} from './suspect.ts';

const NONE: ReadonlySet<string> = new Set();

function createCrash(
  upstream: string,
  sentAtMs: number,
  endedAtMs: number,
  isRefuted = false,
): UpstreamCrash {
  return {upstream, sentAtMs, endedAtMs, isRefuted};
}

function createSuspect(
  crashes: readonly UpstreamCrash[],
  isQuarantined = false,
): Suspect {
  return {
    fingerprint: 'f',
    service: 'chat',
    workspace: 'w',
    isQuarantined,
    seenAtMs: 0,
    changedAtMs: 0,
    crashes,
  };
}

test('sequential crashes count, whatever their order in the list', () => {
  const crashes = [
    createCrash('u3', 700, 800),
    createCrash('u1', 0, 100),
    createCrash('u2', 300, 400),
  ];
  assert.equal(countSequentialCrashes(crashes, NONE), 3);
});

test('simultaneous crashes of upstreams that run the same request count once', () => {
  const crashes = ['u1', 'u2', 'u3', 'u4'].map((id, index) =>
    createCrash(id, index, 500 + index),
  );
  assert.equal(countSequentialCrashes(crashes, NONE), 1);
});

test('a crash counts although its attempt seems sent shortly before the previous crash ended', () => {
  const crashes = [createCrash('u1', 0, 130), createCrash('u2', 100, 200)];
  assert.equal(countSequentialCrashes(crashes, NONE), 2);
});

test('refuted crashes and crashes explained by another request do not count', () => {
  const crashes = [
    createCrash('u1', 0, 100, true),
    createCrash('u2', 300, 400),
    createCrash('u3', 600, 700),
  ];
  assert.equal(countSequentialCrashes(crashes, new Set(['u3'])), 1);
});

test('an answer refutes all crashes, and a stale peer report does not restore them', () => {
  const known = createSuspect([createCrash('u1', 0, 100)], true);
  const served = recordServed(known, 500);
  const merged = mergeSuspects(served, known);
  assert.equal(merged.isQuarantined, false);
  assert.equal(hasChanged(served, merged), false);
  const later = mergeSuspects(
    merged,
    createSuspect([createCrash('u2', 600, 700)]),
  );
  assert.equal(hasChanged(merged, later), true);
  assert.equal(countSequentialCrashes(later.crashes, NONE), 1);
});

test('a new crash replaces a refuted one if the list is full', () => {
  const old = Array.from({length: 6}, (_, index) =>
    createCrash(`old-${index}`, index, index, true),
  );
  const merged = mergeSuspects(
    createSuspect(old),
    createSuspect([
      createCrash('u1', 100, 200),
      createCrash('more', 1, 2, true),
    ]),
  );
  assert.equal(merged.crashes.length, 6);
  assert.ok(merged.crashes.some(({upstream}) => upstream === 'u1'));
});

const crashArbitrary = fc.record({
  upstream: fc.constantFrom('u1', 'u2', 'u3', 'u4', 'u5'),
  sentAtMs: fc.constant(0),
  endedAtMs: fc.constant(1),
  isRefuted: fc.boolean(),
});
const getUpstream = ({upstream}: UpstreamCrash) => upstream;
const suspectArbitrary = fc
  .tuple(fc.uniqueArray(crashArbitrary, {selector: getUpstream}), fc.boolean())
  .map(([crashes, isQuarantined]) => createSuspect(crashes, isQuarantined));

function renderVerdict({isQuarantined, crashes}: Suspect): string {
  const rows = crashes.map(each => `${each.upstream} ${each.isRefuted}`);
  return `${isQuarantined} ${rows.sort().join(', ')}`;
}

test('merging is commutative and idempotent, so that instances agree whatever the order of messages', () => {
  fc.assert(
    fc.property(suspectArbitrary, suspectArbitrary, (left, right) => {
      const one = mergeSuspects(left, right);
      const other = mergeSuspects(right, left);
      const again = mergeSuspects(one, right);
      const isRefuted = one.crashes.every(crash => crash.isRefuted);
      assert.equal(renderVerdict(other), renderVerdict(one));
      assert.equal(hasChanged(one, again), false);
      assert.ok(!isRefuted || !one.isQuarantined);
    }),
  );
});
