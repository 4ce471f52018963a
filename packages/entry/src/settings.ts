import {LOG_LEVELS} from '@hollowstack/logger';
import {SELECTOR_NAMES} from '@hollowstack/routing';
import {addressSchema} from '@hollowstack/types';
import {parseTomlFile} from '@hollowstack/toml-file';
import {z} from 'zod';

/** Characters of a secret, at least; 16 of them cannot be guessed. */
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
    /** Failure domain. */
    failureDomain: z.string().min(1),
  }),
  listen: z.strictObject({
    /** Where callers, operators and probes come. */
    address: addressSchema,
    /** Where peers come; they are told this address. */
    peerAddress: addressSchema,
  }),
  platform: z.strictObject({
    address: addressSchema,
    timeoutMs: z.number().positive().default(2000),
    /** This instance's part of the service's call rate. */
    callsPerSecond: z.number().positive().default(50),
  }),
  peers: z.strictObject({
    /** Addresses to ask while the platform's service is down. */
    seeds: z.array(addressSchema).default([]),
    /** The first is dialled with, any is taken. */
    keys: z.array(peerKeySchema).min(1),
  }),
  operators: z.strictObject({
    /** Bearer tokens that operator calls are taken with. */
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
      /** Deepest nesting of a JSON body. */
      jsonDepth: z.number().int().positive().default(32),
      /** Most upstreams of one pool that this instance uses. */
      upstreamSubset: z.number().int().positive().default(24),
      /** Milliseconds between two readings of an upstream's load report. */
      reportPollMs: z.number().positive().default(1000),
    })
    .prefault({}),
  drain: z
    .strictObject({
      /** How long the balancer may go on sending after a stop was asked for. */
      graceMs: z.number().nonnegative().default(5000),
      /** How long requests in progress may take after that. */
      limitMs: z.number().positive().default(60_000),
    })
    .prefault({}),
  policy: z
    .strictObject({
      selector: z.enum(SELECTOR_NAMES).default('predicted-finish'),
      /** Refuses work whose predicted finish lies behind its deadline. */
      refuseDoomed: z.boolean().default(true),
      /** Adapts this instance's part of each pool to what it observes. */
      adaptLimits: z.boolean().default(true),
      /** Lets an answered load report bring an upstream back; a baseline. */
      reportRestores: z.boolean().default(false),
      /** Gives an attempt up early when it is silent for longer than usual. */
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
 * @param path Shown in errors.
 * @throws HollowstackError `configuration-invalid` with path, line or place.
 */
export function parseSettings(text: string, path: string): Settings {
  return parseTomlFile(text, path, settingsSchema);
}

const HIDDEN = '(hidden)';

/** Returns the settings with their secrets hidden, for showing. */
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
