/** Numbered log events and the writer that puts them out as JSON or readable lines. */
export {EVENTS, type EventName, type EventDefinition} from './events.ts';
export {
  BoundedEventLogger,
  DEFAULT_LOG_BOUND,
  type LogBound,
} from './bounded-event-logger.ts';
export {
  EventLogger,
  TslogEventLogger,
  SilentEventLogger,
  LOG_LEVELS,
  type EventFields,
  type LogFormat,
  type LogLevel,
} from './event-logger.ts';
