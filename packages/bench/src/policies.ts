import type {Settings} from '@hollowstack/entry';

/** The policies that can be compared; the first is the product's own. */
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

const OWN: PolicySettings = {
  selector: 'predicted-finish',
  refuseDoomed: true,
  adaptLimits: true,
  reportRestores: false,
  adaptSilence: true,
};

// The three simple policies choose by their rule alone and decide nothing
// else, as an ordinary balancer before the upstreams would.
const SIMPLE: PolicySettings = {
  ...OWN,
  refuseDoomed: false,
  adaptLimits: false,
  adaptSilence: false,
};

/** Each policy as settings of the daemons; the rest differ from ours in one decision. */
export const POLICIES: Readonly<Record<PolicyName, PolicySettings>> = {
  hollowstack: OWN,
  'least-in-flight': {...SIMPLE, selector: 'least-in-flight'},
  'round-robin': {...SIMPLE, selector: 'round-robin'},
  random: {...SIMPLE, selector: 'random'},
  'no-refusal': {...OWN, refuseDoomed: false},
  'fixed-limits': {...OWN, adaptLimits: false},
  'fixed-silence': {...OWN, adaptSilence: false},
  'report-restores': {...OWN, reportRestores: true},
  'predicted-only': {...SIMPLE, selector: 'predicted-finish'},
  'least-with-rest': {...OWN, selector: 'least-in-flight'},
};
