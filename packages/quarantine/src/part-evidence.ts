import {
  QUARANTINE_CRASHES,
  countSequentialCrashes,
  type UpstreamCrash,
} from './suspect.ts';

/** A crash of an upstream, seen from one request that ran there. */
export interface CrashCase {
  /** Id of the upstream's incarnation, which can crash only once. */
  readonly upstream: string;
  readonly service: string;
  /** What the request held and nobody has seen answered. */
  readonly parts: readonly string[];
  /** When the request was sent there, in milliseconds of this instance's clock. */
  readonly sentAtMs: number;
  /** When its connection broke, in milliseconds of this instance's clock. */
  readonly endedAtMs: number;
}

/** Parts of a service's prompts of which one crashes upstreams. */
export interface PartVerdict {
  readonly service: string;
  /** Sorted; each crash is explained by any of them. */
  readonly parts: readonly string[];
  /** Ids of the upstreams that crashed. */
  readonly upstreams: readonly string[];
}

/** What is to be done with a request, by the parts that it holds. */
export type PartJudgement =
  | {readonly type: 'allowed'}
  /** The request certainly holds the part that crashes upstreams. */
  | {readonly type: 'refused'; readonly verdict: PartVerdict}
  /** The request holds some of the parts; whether the harmful one is among them is unknown. */
  | {readonly type: 'uncertain'; readonly verdict: PartVerdict};

const ALLOWED: PartJudgement = {type: 'allowed'};

/**
 * Counts the sequential crashes that a part may have caused.
 *
 * @param cases All cases of its service.
 */
export function countPartCrashes(
  part: string,
  cases: readonly CrashCase[],
  verdicts: readonly PartVerdict[],
): number {
  return countCrashes(listUnexplained(part, cases, verdicts));
}

/**
 * Finds the parts of a service that caused enough sequential crashes. A verdict holds all
 * parts that explain the same crashes, since any of them may be the cause.
 */
export function findVerdicts(
  cases: readonly CrashCase[],
  verdicts: readonly PartVerdict[],
): PartVerdict[] {
  const parts = new Set(cases.flatMap(each => each.parts));
  const found = [...parts].flatMap(part => {
    const ofPart = listUnexplained(part, cases, verdicts);
    if (countCrashes(ofPart) < QUARANTINE_CRASHES) return [];
    return [createVerdict(ofPart, cases)];
  });
  return removeImplied(found);
}

/** Drops verdicts that hold all parts of another one, which is more exact. */
export function removeImplied(verdicts: readonly PartVerdict[]): PartVerdict[] {
  return verdicts.filter(
    (verdict, index) =>
      !verdicts.some((other, otherIndex) => {
        if (other.service !== verdict.service || index === otherIndex)
          return false;
        if (!hasAll(verdict.parts, other.parts)) return false;
        const isEqual = other.parts.length === verdict.parts.length;
        return !isEqual || otherIndex < index;
      }),
  );
}

/**
 * Judges a request by the verdicts on its service.
 *
 * @param parts What the request holds.
 */
export function judgeParts(
  service: string,
  parts: readonly string[],
  verdicts: readonly PartVerdict[],
): PartJudgement {
  let judgement = ALLOWED;
  for (const verdict of verdicts) {
    if (verdict.service !== service) continue;
    if (hasAll(parts, verdict.parts)) return {type: 'refused', verdict};
    if (verdict.parts.some(part => parts.includes(part))) {
      judgement = {type: 'uncertain', verdict};
    }
  }
  return judgement;
}

/** Returns whether a request that explains a crash by a verdict ran at an upstream. */
export function isExplained(
  upstream: string,
  cases: readonly CrashCase[],
  {parts}: PartVerdict,
): boolean {
  return cases.some(
    each => each.upstream === upstream && hasAll(each.parts, parts),
  );
}

// Leaves out crashes that a verdict explains by other parts.
function listUnexplained(
  part: string,
  cases: readonly CrashCase[],
  verdicts: readonly PartVerdict[],
): CrashCase[] {
  const others = verdicts.filter(({parts}) => !parts.includes(part));
  return cases.filter(
    ({parts, upstream}) =>
      parts.includes(part) &&
      !others.some(verdict => isExplained(upstream, cases, verdict)),
  );
}

// Several requests of an upstream that crashed are one crash.
function countCrashes(cases: readonly CrashCase[]): number {
  const crashes = new Map<string, UpstreamCrash>();
  for (const {upstream, sentAtMs, endedAtMs} of cases) {
    const known = crashes.get(upstream);
    if (known && known.sentAtMs >= sentAtMs) continue;
    crashes.set(upstream, {upstream, sentAtMs, endedAtMs, isRefuted: false});
  }
  return countSequentialCrashes([...crashes.values()], new Set());
}

// Any part that some request held at each upstream explains the crashes as well.
function createVerdict(
  ofPart: readonly CrashCase[],
  cases: readonly CrashCase[],
): PartVerdict {
  const upstreams = [...new Set(ofPart.map(({upstream}) => upstream))];
  const held = upstreams.map(upstream =>
    cases
      .filter(each => each.upstream === upstream)
      .flatMap(({parts}) => parts),
  );
  const [first, ...others] = held.map(parts => new Set(parts));
  const common = [...first].filter(part => others.every(set => set.has(part)));
  return {service: ofPart[0].service, parts: common.sort(), upstreams};
}

function hasAll(parts: readonly string[], wanted: readonly string[]): boolean {
  return wanted.every(part => parts.includes(part));
}
