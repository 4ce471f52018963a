import {z} from 'zod';

/** Where a resumable stream began; instances share these records for a while. */
export const streamOriginSchema = z.object({
  /** Digest of the workspace, the route and the id of the request that began the stream. */
  key: z.string().max(64),
  service: z.string(),
  /** Software version of the upstream that sent the first event. */
  version: z.string(),
  /** Milliseconds since an upstream last sent an event of the stream for the first time. */
  ageMs: z.number().nonnegative(),
});
/** Where a resumable stream began. */
export type StreamOrigin = z.infer<typeof streamOriginSchema>;

/** The software versions of a service that an instance has seen lately. */
export const observedVersionsSchema = z.object({
  versions: z.array(z.string()),
  /** Milliseconds for which the instance has observed the service. */
  observedMs: z.number().nonnegative(),
});
/** The software versions of a service that an instance has seen lately. */
export type ObservedVersions = z.infer<typeof observedVersionsSchema>;
