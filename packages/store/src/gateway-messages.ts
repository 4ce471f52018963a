import {z} from 'zod';

// The JSON gateway of the etcd v3 API encodes 64-bit numbers as strings and
// omits fields that have their zero value.
const numberSchema = z.union([z.string(), z.number()]).transform(Number);
const zeroableSchema = numberSchema.default(0);

/** A key and its value on the wire, both base64-encoded. */
export const wireKeyValueSchema = z.object({
  key: z.string(),
  value: z.string().default(''),
  mod_revision: zeroableSchema,
  create_revision: zeroableSchema,
});

const headerSchema = z.object({
  cluster_id: z.coerce.string().default(''),
  revision: zeroableSchema,
});

/** Answer to /v3/kv/range. */
export const rangeResponseSchema = z.object({
  header: headerSchema,
  kvs: z.array(wireKeyValueSchema).default([]),
});

/** Answer to /v3/kv/txn. */
export const transactionResponseSchema = z.object({
  header: headerSchema,
  succeeded: z.boolean().default(false),
  responses: z
    .array(z.object({response_range: rangeResponseSchema.partial().optional()}))
    .default([]),
});

/** Answer to /v3/lease/grant. */
export const leaseGrantResponseSchema = z.object({
  ID: z.string(),
  TTL: numberSchema,
});

/** Answer to /v3/lease/keepalive; a TTL of zero means that the lease has ended. */
export const leaseRenewResponseSchema = z.object({
  result: z.object({TTL: zeroableSchema}),
});

/** One line of /v3/watch. */
export const watchResponseSchema = z.object({
  result: z.object({
    created: z.boolean().optional(),
    canceled: z.boolean().optional(),
    events: z
      .array(
        z.object({
          type: z.enum(['PUT', 'DELETE']).default('PUT'),
          kv: wireKeyValueSchema,
        }),
      )
      .default([]),
  }),
});
