/** Signals in the answers of upstreams: shutdown, back-off, rate limits and tolerances. */
export {
  SignalProtocol,
  toAnswerHead,
  type AnswerHead,
  type AnswerSignals,
} from './answer-signals.ts';
export {BackOffTable} from './back-off-table.ts';
export {MAX_BACK_OFF_MS, parseRetryAfterMs} from './retry-after.ts';
export {
  ToleranceTable,
  type CalledUpstream,
  type ToleranceTableParts,
  type UpstreamPlaces,
} from './tolerance-table.ts';
export {UpstreamSignals, type SignalAnswer} from './upstream-signals.ts';
