import type {SampleUpstreams} from '@hollowstack/local-system';
import {
  STAGE_KINDS,
  configObjectSchema,
  type ConfigObject,
  type StageKind,
} from '@hollowstack/types';
import type {Scenario, ScenarioClass} from './scenario.ts';

const MODEL = 'assistant';
const TOKENS_PER_REQUEST = 64;

/** Creates the configuration objects that an operator would publish for a scenario. */
export function createScenarioConfiguration(
  scenario: Scenario,
  upstreams: SampleUpstreams,
): ConfigObject[] {
  const objects: unknown[] = [
    ...STAGE_KINDS.map(stage => createPool(scenario, stage, upstreams)),
    ...scenario.workspaces.flatMap(({classes}) => classes).map(createTemplate),
    ...scenario.workspaces.map(createWorkspace),
  ];
  return removeDuplicates(
    objects.map(object => configObjectSchema.parse(object)),
  );
}

function createPool(
  scenario: Scenario,
  stage: StageKind,
  upstreams: SampleUpstreams,
): unknown {
  return {
    kind: 'pool',
    value: {
      name: `${stage}-pool`,
      stage,
      upstreams: upstreams[stage],
      concurrencyPerUpstream: getSlots(scenario, stage),
      expectedMs: getExpectedMs(scenario, stage),
      silenceMs: 1000,
      models: stage === 'generate' ? [MODEL] : [],
    },
  };
}

function getSlots({pools}: Scenario, stage: StageKind): number {
  return stage === 'generate' ? pools.generate.maxRunning : pools[stage].slots;
}

function getExpectedMs({pools}: Scenario, stage: StageKind): number {
  if (stage !== 'generate') return pools[stage].baseMs;
  return pools.generate.stepMs * TOKENS_PER_REQUEST;
}

function createTemplate(requestClass: ScenarioClass): unknown {
  return {
    kind: 'template',
    value: {
      name: requestClass.name,
      stages: requestClass.stages.map(kind => ({
        name: kind,
        kind,
        pool: `${kind}-pool`,
        top: kind === 'retrieve' ? 8 : 3,
      })),
    },
  };
}

function createWorkspace(workspace: Scenario['workspaces'][number]): unknown {
  const pipelines = workspace.classes.map(requestClass => [
    requestClass.name,
    {
      template: requestClass.name,
      deadlineMs: requestClass.deadlineMs,
      priority: requestClass.priority,
      model: MODEL,
      maxTokens: requestClass.maxTokens,
    },
  ]);
  return {
    kind: 'workspace',
    value: {
      name: workspace.name,
      objective: workspace.objective,
      pipelines: Object.fromEntries(pipelines),
      limits: {
        requestsPerSecond: workspace.requestsPerSecond,
        concurrentRequests: 100_000,
      },
    },
  };
}

// Classes with the same name in several workspaces share a template.
function removeDuplicates(objects: readonly ConfigObject[]): ConfigObject[] {
  const byId = new Map(
    objects.map(object => [`${object.kind}/${object.value.name}`, object]),
  );
  return [...byId.values()];
}
