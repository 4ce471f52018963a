/** Numbered log events and loggers that write them as JSON or human-readable lines. */
export {EVENTS, type EventName, type EventDefinition} from './events.ts';
export {
  BoundedEventLogger,
  DEFAULT_LOG_LIMITS,
  type LogLimits,
} from './bounded-event-logger.ts';
export {
  EventLogger,
  ListingEventLogger,
  TslogEventLogger,
  SilentEventLogger,
  LOG_LEVELS,
  type EventFields,
  type LogFormat,
  type LogLevel,
} from './event-logger.ts';
