import {LOG_LEVELS} from '@hollowstack/logger';
import {SELECTOR_NAMES} from '@hollowstack/routing';
import {addressSchema} from '@hollowstack/types';
import {parseTomlFile} from '@hollowstack/toml-file';
import {z} from 'zod';

/** Minimum length of a secret in characters; 16 random ones cannot be guessed. */
const MIN_SECRET_LENGTH = 16;
const secretSchema = z
  .string()
  .min(MIN_SECRET_LENGTH, `use at least ${MIN_SECRET_LENGTH} characters`);

const peerKeySchema = z.strictObject({id: z.string(), secret: secretSchema});

/** The settings of one daemon. Durations are in milliseconds. */
export const settingsSchema = z.strictObject({
  instance: z.strictObject({
    id: z
      .string()
      .regex(/^[a-z0-9-]{1,40}$/, 'use small letters, digits, dashes'),
    failureDomain: z.string().min(1),
  }),
  listen: z.strictObject({
    /** Address for callers, operators and probes. */
    address: addressSchema,
    /** Address for peers; it is published to them. */
    peerAddress: addressSchema,
  }),
  platform: z.strictObject({
    address: addressSchema,
    timeoutMs: z.number().positive().default(2000),
    /** This instance's share of the call rate that the platform's store allows. */
    callsPerSecond: z.number().positive().default(50),
  }),
  peers: z.strictObject({
    /** Addresses of peers to contact while the platform's store is unavailable. */
    seeds: z.array(addressSchema).default([]),
    /** The first key is used for outgoing connections; incoming ones may use any. */
    keys: z.array(peerKeySchema).min(1),
  }),
  operators: z.strictObject({
    /** Bearer tokens that are accepted for operator calls. */
    keys: z.array(secretSchema).min(1),
  }),
  limits: z
    .strictObject({
      bodyBytes: z
        .number()
        .int()
        .positive()
        .default(1024 * 1024),
      headerBytes: z
        .number()
        .int()
        .positive()
        .default(16 * 1024),
      receiveMs: z.number().int().positive().default(10_000),
      /** Maximum nesting depth of a JSON body. */
      jsonDepth: z.number().int().positive().default(32),
      /** Maximum number of upstreams of one pool or service that this instance uses. */
      upstreamSubset: z.number().int().positive().default(24),
      /** Milliseconds between two polls of an upstream's load report. */
      reportPollMs: z.number().positive().default(1000),
    })
    .prefault({}),
  drain: z
    .strictObject({
      /** How long the load balancer may still send requests after a stop began. */
      graceMs: z.number().nonnegative().default(5000),
      /** How long requests in progress may take after the grace period. */
      limitMs: z.number().positive().default(60_000),
    })
    .prefault({}),
  policy: z
    .strictObject({
      selector: z.enum(SELECTOR_NAMES).default('predicted-finish'),
      /** Refuses work whose predicted finish is after its deadline. */
      refuseDoomed: z.boolean().default(true),
      /** Adapts this instance's concurrency limit of each pool and service to the observed load. */
      adaptLimits: z.boolean().default(true),
      /** Restores an ejected upstream as soon as it reports its load; benchmarks compare it with the default. */
      reportRestores: z.boolean().default(false),
      /** Cancels an attempt early if its upstream is inactive for longer than usual. */
      adaptSilence: z.boolean().default(true),
    })
    .prefault({}),
  log: z
    .strictObject({
      level: z.enum(LOG_LEVELS).default('info'),
      format: z.enum(['json', 'pretty']).default('json'),
    })
    .prefault({}),
});
/** The settings of one daemon. */
export type Settings = z.infer<typeof settingsSchema>;

/**
 * Parses a settings file.
 *
 * @param path Path of the file for error messages.
 * @throws HollowstackError `configuration-invalid` with the path and the line or key.
 */
export function parseSettings(text: string, path: string): Settings {
  return parseTomlFile(text, path, settingsSchema);
}

const HIDDEN = '(hidden)';

/** Returns a copy of the settings whose secrets are replaced, for display. */
export function removeSecrets(settings: Settings): Settings {
  return {
    ...settings,
    peers: {
      ...settings.peers,
      keys: settings.peers.keys.map(({id}) => ({id, secret: HIDDEN})),
    },
    operators: {keys: settings.operators.keys.map(() => HIDDEN)},
  };
}
