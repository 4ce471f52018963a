import type {Settings} from '@hollowstack/entry';

/** The policies that can be compared; the first is the default of hollowstack. */
export const POLICY_NAMES = [
  'hollowstack',
  'least-in-flight',
  'round-robin',
  'random',
  'no-refusal',
  'fixed-limits',
  'fixed-silence',
  'report-restores',
  'predicted-only',
  'least-with-rest',
] as const;
/** The name of a policy. */
export type PolicyName = (typeof POLICY_NAMES)[number];

type PolicySettings = Settings['policy'];

const HOLLOWSTACK: PolicySettings = {
  selector: 'predicted-finish',
  refuseDoomed: true,
  adaptLimits: true,
  reportRestores: false,
  adaptSilence: true,
};

// The simple policies only choose an upstream, like an ordinary load balancer
// in front of the upstreams.
const SIMPLE: PolicySettings = {
  ...HOLLOWSTACK,
  refuseDoomed: false,
  adaptLimits: false,
  adaptSilence: false,
};

/** Settings by policy; those not based on SIMPLE differ from HOLLOWSTACK in one decision. */
export const POLICIES: Readonly<Record<PolicyName, PolicySettings>> = {
  hollowstack: HOLLOWSTACK,
  'least-in-flight': {...SIMPLE, selector: 'least-in-flight'},
  'round-robin': {...SIMPLE, selector: 'round-robin'},
  random: {...SIMPLE, selector: 'random'},
  'no-refusal': {...HOLLOWSTACK, refuseDoomed: false},
  'fixed-limits': {...HOLLOWSTACK, adaptLimits: false},
  'fixed-silence': {...HOLLOWSTACK, adaptSilence: false},
  'report-restores': {...HOLLOWSTACK, reportRestores: true},
  'predicted-only': {...SIMPLE, selector: 'predicted-finish'},
  'least-with-rest': {...HOLLOWSTACK, selector: 'least-in-flight'},
};
