import {Logger} from 'tslog';
import {EVENTS, type EventName} from './events.ts';

/** Levels at which logging can be set, the most talkative first. */
export const LOG_LEVELS = ['debug', 'info', 'warn', 'error'] as const;
/** One log level. */
export type LogLevel = (typeof LOG_LEVELS)[number];
/** Output form: one JSON object a line, or lines for a person. */
export type LogFormat = 'json' | 'pretty';

/** Fields that an event carries beside its number and text. */
export type EventFields = Readonly<
  Record<string, string | number | boolean | undefined>
>;

/** Takes numbered events. */
export abstract class EventLogger {
  /** Logs one event of the catalogue. */
  abstract logEvent(name: EventName, fields?: EventFields): void;
}

/** Drops every event; for embedders and tests that want no logs. */
export class SilentEventLogger extends EventLogger {
  logEvent(): void {}
}

/** Writes events to standard output by tslog. */
export class TslogEventLogger extends EventLogger {
  private readonly logger: Logger<unknown>;
  private readonly instance: string;

  /** @param instance Name of the instance, set on every line. */
  constructor(instance: string, level: LogLevel, format: LogFormat) {
    super();
    this.instance = instance;
    this.logger = new Logger({
      type: format,
      minLevel: LOG_LEVELS.indexOf(level) + 2,
      stack: {capture: 'off'},
    });
  }

  logEvent(name: EventName, fields: EventFields = {}): void {
    const event = EVENTS[name];
    const given = Object.entries(fields).filter(
      ([, value]) => value !== undefined,
    );
    const record = {
      event: event.number,
      name,
      instance: this.instance,
      ...Object.fromEntries(given),
    };
    this.logger[event.level](event.text, record);
  }
}
