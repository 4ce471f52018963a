import {z} from 'zod';

/** A key range in the JSON of the etcd gateway; both ends are in base64. */
export const wireRangeSchema = z.object({
  key: z.string(),
  range_end: z.string().optional(),
  min_mod_revision: z.coerce.number().default(0),
});

/** One operation of a transaction; exactly one of the keys is set. */
export const wireOperationSchema = z.object({
  request_put: z
    .object({key: z.string(), value: z.string(), lease: z.string().optional()})
    .optional(),
  request_range: wireRangeSchema.optional(),
  request_delete_range: wireRangeSchema.optional(),
});

/** A transaction: operations that depend on whether all comparisons hold. */
export const wireTransactionSchema = z.object({
  compare: z
    .array(
      z.object({
        key: z.string(),
        target: z.literal('MOD'),
        result: z.literal('EQUAL'),
        mod_revision: z.coerce.number().default(0),
      }),
    )
    .default([]),
  success: z.array(wireOperationSchema).default([]),
  failure: z.array(wireOperationSchema).default([]),
});

/** A request to create a watch. */
export const wireWatchSchema = z.object({create_request: wireRangeSchema});

/** A request to grant a lease. */
export const wireLeaseGrantSchema = z.object({TTL: z.coerce.number()});

/** A request to renew or revoke a lease. */
export const wireLeaseSchema = z.object({ID: z.string()});

/** Decodes a key or value from base64. */
export function decodeText(base64: string): string {
  return Buffer.from(base64, 'base64').toString('utf8');
}

/** Encodes a key or value in base64. */
export function encodeText(text: string): string {
  return Buffer.from(text, 'utf8').toString('base64');
}
