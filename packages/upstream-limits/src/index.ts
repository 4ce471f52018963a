/** Rate limits that upstreams advertise in their answers, shared across all instances. */
export {
  LimitTable,
  type LimitAnswer,
  type LimitTableParts,
} from './limit-table.ts';
export {parseLimit} from './limit-value.ts';
