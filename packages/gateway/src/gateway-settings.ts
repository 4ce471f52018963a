import {LOG_LEVELS} from '@hollowstack/logger';
import {parseTomlFile} from '@hollowstack/toml-file';
import {addressSchema} from '@hollowstack/types';
import {z} from 'zod';

/** Minimum length of a secret in characters; 16 random characters cannot be guessed. */
const MIN_SECRET_LENGTH = 16;

const peerKeySchema = z.object({
  id: z.string(),
  secret: z
    .string()
    .min(MIN_SECRET_LENGTH, `use at least ${MIN_SECRET_LENGTH} characters`),
});

/**
 * Switches for individual mechanisms; disabling one shows the effect that it has.
 * All are enabled by default.
 */
export const policySettingsSchema = z.object({
  /** Starts stages with large results as late as their request allows. */
  latestStart: z.boolean().default(true),
  /** Releases the inputs of a resumable stream at its first event, not at its end. */
  earlyRelease: z.boolean().default(true),
  /** Releases stage results once a call has read them, before that call ends. */
  readRelease: z.boolean().default(true),
  /** Chooses engines by the slack of a request, see docs/design. */
  slackPlacing: z.boolean().default(true),
  /** Records stage results in the store, so that a later coordinator can release them. */
  resultCheckpoints: z.boolean().default(true),
});
/** Switches for individual mechanisms; all have defaults. */
export type PolicySettings = z.infer<typeof policySettingsSchema>;

/**
 * The settings of one gateway. Each duration has the unit in its name. Unknown fields are
 * ignored, since a platform may add its own.
 */
export const gatewaySettingsSchema = z.object({
  instance: z.object({
    id: z.string().min(1),
    failureDomain: z.string().min(1),
    /** Share of a CPU core that the instance may use. */
    cpuShare: z.number().positive().default(1),
    /** Speed of such a core relative to a typical one. */
    cpuSpeed: z.number().positive().default(1),
  }),
  listen: z.object({
    /** Address for callers. */
    address: addressSchema,
    /** Address for the readiness probes of the load balancer. */
    probeAddress: addressSchema,
    /** Address for peers. */
    peerAddress: addressSchema,
    /** Address announced to peers if it differs from peerAddress (a mapped port, for example). */
    advertisedPeerAddress: addressSchema.optional(),
    /**
     * Address for tunnels, over which peers reach upstreams that they cannot connect to; any
     * free port of the peer address's host if left out.
     */
    tunnelAddress: addressSchema.optional(),
    /** Address for metrics and operator calls; without it, neither is served. */
    metricsAddress: addressSchema.optional(),
  }),
  store: z.object({
    address: addressSchema,
    /** Time-out of one store call in milliseconds; a slow store takes some 240 ms. */
    timeoutMs: z.number().positive().default(1000),
    /**
     * Milliseconds within which a change of the upstreams must be in force. The shortest of
     * this and the two limits below applies to all changes. Every delay in the propagation
     * of a change counts towards it, see docs/platform-design.md.
     */
    followWithinMs: z.number().positive().default(2000),
    /**
     * Milliseconds within which a configuration must be in force. The default is the 20 s
     * that operators are promised.
     */
    configureWithinMs: z.number().positive().default(20_000),
    /**
     * Milliseconds within which the evacuation of a failure domain must be in force. The
     * default shortens neither of the other limits.
     */
    evacuateWithinMs: z.number().positive().default(20_000),
  }),
  peers: z.object({
    /**
     * Peer addresses to contact if no peer is reachable, as at a start while the store is
     * unavailable. Every few gossip rounds, one of them is contacted as well.
     */
    seeds: z.array(addressSchema).default([]),
    keys: z.array(peerKeySchema).min(1),
  }),
  operators: z
    .object({
      /** Bearer tokens for operator calls at the metrics address; without any, all are rejected. */
      keys: z.array(z.string().min(MIN_SECRET_LENGTH)).default([]),
    })
    .prefault({}),
  retries: z
    .object({
      /** Retries allowed for each request, over all instances. */
      ratio: z.number().nonnegative().default(0.2),
      windowSeconds: z.number().positive().default(10),
      /** Retries allowed in addition to the ratio, over all instances. */
      burst: z.number().nonnegative().default(50),
    })
    .prefault({}),
  policy: policySettingsSchema.prefault({}),
  drain: z
    .object({
      /** Seconds for a planned stop, after which the process is killed. */
      limitSeconds: z.number().positive().default(8),
    })
    .prefault({}),
  log: z
    .object({
      level: z.enum(LOG_LEVELS).default('info'),
      format: z.enum(['json', 'pretty']).default('json'),
    })
    .prefault({}),
});
/** The settings of one gateway, with defaults applied. */
export type GatewaySettings = z.infer<typeof gatewaySettingsSchema>;

/**
 * Parses a settings file.
 *
 * @param path Path of the file, used in error messages.
 * @throws HollowstackError `configuration-invalid` with the path and the line or field.
 */
export function parseGatewaySettings(
  text: string,
  path: string,
): GatewaySettings {
  return parseTomlFile(text, path, gatewaySettingsSchema);
}
