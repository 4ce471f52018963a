import {z} from 'zod';
import {
  poolSchema,
  serviceSchema,
  templateSchema,
  workspaceSchema,
} from './objects.ts';

/** The kinds of configuration object that operators publish. */
export const OBJECT_KINDS = [
  'template',
  'workspace',
  'pool',
  'service',
] as const;
/** One kind of configuration object. */
export type ObjectKind = (typeof OBJECT_KINDS)[number];

/** A configuration object with its kind. */
export const configObjectSchema = z.discriminatedUnion('kind', [
  z.object({kind: z.literal('template'), value: templateSchema}),
  z.object({kind: z.literal('workspace'), value: workspaceSchema}),
  z.object({kind: z.literal('pool'), value: poolSchema}),
  z.object({kind: z.literal('service'), value: serviceSchema}),
]);
/** A configuration object with its kind. */
export type ConfigObject = z.infer<typeof configObjectSchema>;

const objectVersionSchema = z.object({
  kind: z.enum(OBJECT_KINDS),
  name: z.string(),
  /** The revision that last changed the object. */
  version: z.number().int(),
});
/** Revision that last changed an object. */
export type ObjectVersion = z.infer<typeof objectVersionSchema>;

/** The newest revision and the versions of its objects. */
export const headSchema = z.object({
  revision: z.number().int().nonnegative(),
  /** Id of the change that created this revision. */
  changeId: z.string(),
  objects: z.array(objectVersionSchema),
});
/** The newest revision and the versions of its objects. */
export type Head = z.infer<typeof headSchema>;

/** Author, time and objects of one change. */
export const changeRecordSchema = z.object({
  revision: z.number().int(),
  changeId: z.string(),
  author: z.string(),
  /** Milliseconds since the epoch. */
  atMs: z.number(),
  changed: z.array(z.string()),
  removed: z.array(z.string()),
});
/** Author, time and objects of one change. */
export type ChangeRecord = z.infer<typeof changeRecordSchema>;

/** The complete configuration at one revision. */
export const configurationSnapshotSchema = z.object({
  head: headSchema,
  objects: z.array(configObjectSchema),
});
/** The complete configuration at one revision. */
export type ConfigurationSnapshot = z.infer<typeof configurationSnapshotSchema>;
