import type {StageLimiter} from '../stage-fleet.ts';

/** A limiter for upstreams that advertise no limits. */
export const NO_LIMITS: StageLimiter = {
  isLimited: () => false,
  mayCall: () => true,
  acquireCall: () => true,
  getCallRate: () => undefined,
  getReleaseIntervalMs: () => undefined,
  isProbeDue: () => false,
  recordProbe: () => {},
};
