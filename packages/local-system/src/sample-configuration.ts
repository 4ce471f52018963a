import {
  configObjectSchema,
  type ConfigObject,
  type StageKind,
  type Upstream,
} from '@hollowstack/types';

/** The operator key in the settings of local systems. */
export const OPERATOR_KEY = 'operator-key-for-local-use';

/** The upstreams of a local system, by the stage or service that they serve. */
export interface SampleUpstreams {
  readonly encode: readonly Upstream[];
  readonly retrieve: readonly Upstream[];
  readonly rerank: readonly Upstream[];
  readonly generate: readonly Upstream[];
  readonly booking: readonly Upstream[];
}

/** Expected milliseconds of one request at the stand-ins of a local system. */
const EXPECTED_MS: Readonly<Record<StageKind, number>> = {
  encode: 8,
  retrieve: 5,
  rerank: 8,
  generate: 400,
};

const SLOTS: Readonly<Record<StageKind, number>> = {
  encode: 4,
  retrieve: 8,
  rerank: 4,
  generate: 16,
};

/** Creates a configuration with pools, templates, a service, and a workspace for each objective. */
export function createSampleConfiguration(
  upstreams: SampleUpstreams,
): ConfigObject[] {
  const objects: unknown[] = [
    ...(['encode', 'retrieve', 'rerank', 'generate'] as const).map(stage =>
      createPool(stage, upstreams[stage]),
    ),
    createTemplate('chat', ['encode', 'retrieve', 'rerank', 'generate']),
    createTemplate('search', ['encode', 'retrieve', 'rerank']),
    createTemplate('summary', ['encode', 'generate']),
    {
      kind: 'service',
      value: {
        name: 'booking',
        upstreams: upstreams.booking,
        deadlineMs: 2000,
        operations: [
          {method: 'GET', path: '/*', repeatable: true},
          {method: 'POST', path: '/bookings', repeatable: false},
        ],
      },
    },
    createWorkspace('lima-centro', 'cost'),
    createWorkspace('muscat-desk', 'attainment'),
  ];
  return objects.map(object => configObjectSchema.parse(object));
}

function createPool(stage: StageKind, upstreams: readonly Upstream[]): unknown {
  return {
    kind: 'pool',
    value: {
      name: `${stage}-pool`,
      stage,
      upstreams,
      concurrencyPerUpstream: SLOTS[stage],
      expectedMs: EXPECTED_MS[stage],
      silenceMs: 1000,
      models: stage === 'generate' ? ['assistant'] : [],
    },
  };
}

function createTemplate(name: string, kinds: readonly StageKind[]): unknown {
  const stages = kinds.map(kind => ({
    name: kind,
    kind,
    pool: `${kind}-pool`,
    top: kind === 'retrieve' ? 8 : 3,
  }));
  return {kind: 'template', value: {name, stages}};
}

function createWorkspace(name: string, objective: string): unknown {
  return {
    kind: 'workspace',
    value: {
      name,
      objective,
      services: ['booking'],
      pipelines: {
        chat: {
          template: 'chat',
          deadlineMs: 2000,
          priority: 1,
          model: 'assistant',
          maxTokens: 24,
        },
        search: {
          template: 'search',
          deadlineMs: 1000,
          priority: 1,
          model: 'assistant',
        },
        summary: {
          template: 'summary',
          deadlineMs: 8000,
          priority: 6,
          model: 'assistant',
          maxTokens: 120,
        },
        rush: {
          template: 'chat',
          deadlineMs: 500,
          priority: 1,
          model: 'assistant',
          maxTokens: 24,
        },
      },
    },
  };
}
