/** Keeps the sends of all instances within the rate limits that upstreams advertise. */
export {
  LimitTable,
  type LimitAnswer,
  type LimitTableParts,
} from './limit-table.ts';
export {parseLimit} from './limit-value.ts';
export {SendGranter, type SendGranterParts} from './send-granter.ts';
export {
  GrantSource,
  SendLimiter,
  type AcquireOutcome,
  type SendGrant,
  type SendLimiterParts,
} from './send-limiter.ts';
export {
  SendQueue,
  type SendQueueParts,
  type SettledRequest,
} from './send-queue.ts';
