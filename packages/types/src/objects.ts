import {z} from 'zod';
import {addressSchema} from './address.ts';

/** The kinds of stage a template can have, in the order in which a request passes them. */
export const STAGE_KINDS = [
  'encode',
  'retrieve',
  'rerank',
  'generate',
] as const;
/** One kind of stage. */
export type StageKind = (typeof STAGE_KINDS)[number];

const nameSchema = z
  .string()
  .regex(
    /^[a-z0-9][a-z0-9-]{0,62}$/,
    'use 1 to 63 small letters, digits and dashes',
  );

/** One upstream of a pool or service. */
export const upstreamSchema = z.strictObject({
  id: nameSchema,
  address: addressSchema,
  failureDomain: nameSchema,
  /** Whether the upstream checks the fencing token of placement orders. */
  checksFence: z.boolean().default(false),
});
/** One upstream of a pool or service. */
export type Upstream = z.infer<typeof upstreamSchema>;

/** A pool of equivalent upstreams that serve one kind of stage. */
export const poolSchema = z.strictObject({
  name: nameSchema,
  stage: z.enum(STAGE_KINDS),
  upstreams: z.array(upstreamSchema).min(1),
  /** Maximum number of requests in progress at one upstream. */
  concurrencyPerUpstream: z.number().int().positive().default(16),
  /** Initial estimate of a request's duration in milliseconds, until one is measured. */
  expectedMs: z.number().positive().default(50),
  /** Milliseconds without an answer byte after which an upstream counts as unresponsive. */
  silenceMs: z.number().positive().default(2000),
  /** The models that the pool's engines serve between them. */
  models: z.array(nameSchema).default([]),
  /** Number of engines that load each model; if absent, no placement orders are sent. */
  placement: z
    .strictObject({
      targets: z
        .array(
          z.strictObject({
            model: nameSchema,
            copies: z.number().int().positive(),
          }),
        )
        .min(1),
      /** Maximum number of models that one engine can hold. */
      modelsPerEngine: z.number().int().positive().default(1),
      /** Maximum number of concurrent model loads, to limit traffic at the weight store. */
      maxLoads: z.number().int().positive().default(2),
    })
    .optional(),
});
/** A pool of equivalent upstreams that serve one kind of stage. */
export type Pool = z.infer<typeof poolSchema>;

/** One stage of a template. */
export const stageSchema = z.strictObject({
  name: nameSchema,
  kind: z.enum(STAGE_KINDS),
  pool: nameSchema,
  /** Number of documents that a retrieve stage fetches or a rerank stage keeps. */
  top: z.number().int().positive().max(1000).default(8),
});
/** One stage of a template. */
export type Stage = z.infer<typeof stageSchema>;

/** A pipeline's template: its stages in order. */
export const templateSchema = z.strictObject({
  name: nameSchema,
  stages: z.array(stageSchema).min(1).max(16),
});
/** A pipeline's template: its stages in order. */
export type Template = z.infer<typeof templateSchema>;

/** A workspace's own parameters for one pipeline. */
export const workspacePipelineSchema = z.strictObject({
  template: nameSchema,
  /** Milliseconds from arrival to the complete answer. */
  deadlineMs: z.number().int().positive().max(600_000),
  /** 0 is the most urgent, 9 the least. */
  priority: z.number().int().min(0).max(9).default(5),
  model: nameSchema,
  adapter: nameSchema.optional(),
  maxTokens: z.number().int().positive().max(100_000).default(64),
});
/** A workspace's own parameters for one pipeline. */
export type WorkspacePipeline = z.infer<typeof workspacePipelineSchema>;

/** A workspace with its pipelines and limits. */
export const workspaceSchema = z.strictObject({
  name: nameSchema,
  /** What to prefer if both cannot be met: finishing in time, or low cost. */
  objective: z.enum(['attainment', 'cost']).default('attainment'),
  pipelines: z.record(nameSchema, workspacePipelineSchema).default({}),
  services: z.array(nameSchema).default([]),
  limits: z
    .strictObject({
      /** Requests per second across all instances. */
      requestsPerSecond: z.number().positive().default(1000),
      /** Requests in progress across all instances. */
      concurrentRequests: z.number().int().positive().default(1000),
    })
    .prefault({}),
});
/** A workspace with its pipelines and limits. */
export type Workspace = z.infer<typeof workspaceSchema>;

const serviceOperationSchema = z.strictObject({
  method: z.enum(['GET', 'POST', 'PUT', 'PATCH', 'DELETE']),
  /** Path below the service; a trailing `*` matches any suffix. */
  path: z.string().startsWith('/'),
  /** Whether the call may be sent more than once. */
  repeatable: z.boolean(),
});
/** One kind of call that a plain service accepts. */
export type ServiceOperation = z.infer<typeof serviceOperationSchema>;

/** A plain service. Calls that match no operation are not repeatable. */
export const serviceSchema = z.strictObject({
  name: nameSchema,
  upstreams: z.array(upstreamSchema).min(1),
  operations: z.array(serviceOperationSchema).default([]),
  /** Maximum duration of a call in milliseconds. */
  deadlineMs: z.number().int().positive().default(5000),
  concurrencyPerUpstream: z.number().int().positive().default(64),
  expectedMs: z.number().positive().default(20),
});
/** A plain service. */
export type Service = z.infer<typeof serviceSchema>;
