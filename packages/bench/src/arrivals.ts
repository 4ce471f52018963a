import {createSeededRandom} from '@hollowstack/local-system';
import type {Scenario, ScenarioClass} from './scenario.ts';

/** One request of the open-loop load, sent regardless of earlier ones. */
export interface Arrival {
  /** Milliseconds from the start of the measured part; negative during warm-up. */
  readonly atMs: number;
  readonly workspace: string;
  readonly class: ScenarioClass;
  readonly input: string;
  /** Random number in [0, 1) that selects the instance in place of the balancer. */
  readonly balancerDraw: number;
}

const SHARED_TEXT =
  'You answer for the workspace in its own words and keep to its rules. ';

/** Creates all arrivals of a run in order; they depend on scenario and seed only. */
export function createArrivals(scenario: Scenario, seed: number): Arrival[] {
  const arrivals = scenario.workspaces.flatMap((workspace, workspaceIndex) =>
    workspace.classes.flatMap((requestClass, classIndex) => {
      const classSeed = seed * 10_007 + workspaceIndex * 101 + classIndex;
      const random = createSeededRandom(classSeed);
      return createClassArrivals(
        scenario,
        workspace.name,
        requestClass,
        random,
      );
    }),
  );
  return arrivals.sort((left, right) => left.atMs - right.atMs);
}

function createClassArrivals(
  scenario: Scenario,
  workspace: string,
  requestClass: ScenarioClass,
  random: () => number,
): Arrival[] {
  const arrivals: Arrival[] = [];
  const {durationMs, warmupMs} = scenario;
  const peakFactor = Math.max(1, ...scenario.bursts.map(({factor}) => factor));
  const peakRate = requestClass.requestsPerSecond * scenario.load * peakFactor;
  // A Poisson process at the peak rate, thinned to the current rate.
  let atMs = -warmupMs;
  while (true) {
    atMs += (-Math.log(1 - random()) / peakRate) * 1000;
    if (atMs >= durationMs) return arrivals;
    const factor = getBurstFactor(scenario, requestClass.name, atMs);
    const isAccepted = random() < factor / peakFactor;
    const draw = random();
    const input = createInput(workspace, requestClass, random);
    if (isAccepted) {
      arrivals.push({
        atMs,
        workspace,
        class: requestClass,
        input,
        balancerDraw: draw,
      });
    }
  }
}

function getBurstFactor(
  scenario: Scenario,
  className: string,
  atMs: number,
): number {
  return scenario.bursts
    .filter(
      burst =>
        atMs >= burst.fromMs &&
        atMs < burst.untilMs &&
        (burst.classes?.includes(className) ?? true),
    )
    .reduce((product, {factor}) => product * factor, 1);
}

function createInput(
  workspace: string,
  requestClass: ScenarioClass,
  random: () => number,
): string {
  const {name, inputCharacters, sharedCharacters} = requestClass;
  const shared = `${workspace} ${name}. ${SHARED_TEXT}`
    .repeat(1 + Math.ceil(sharedCharacters / SHARED_TEXT.length))
    .slice(0, sharedCharacters);
  const own = Math.floor(random() * 2 ** 48).toString(36);
  return (shared + `${own} `.repeat(inputCharacters)).slice(
    0,
    Math.max(inputCharacters, sharedCharacters + own.length),
  );
}
