import {Logger, type ILogObjMeta} from 'tslog';
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

  /**
   * @param instance Name of the instance, set on every line.
   * @param writeLine Takes the lines of the form `json`.
   */
  constructor(
    instance: string,
    level: LogLevel,
    format: LogFormat,
    writeLine: (line: string) => void = writeToOutput,
  ) {
    super();
    this.instance = instance;
    this.logger = new Logger({
      type: format === 'json' ? 'hidden' : format,
      minLevel: LOG_LEVELS.indexOf(level) + 2,
      stack: {capture: 'off'},
    });
    if (format !== 'json') return;
    this.logger.attachTransport({
      format: record => formatLine(record),
      write: (_record, line) => writeLine(line),
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

function writeToOutput(line: string): void {
  process.stdout.write(`${line}\n`);
}

// The library's own lines carry time, level and host a second time, which makes
// a line of an ordinary event 200 bytes longer.
function formatLine(record: ILogObjMeta): string {
  const {_logMeta: meta, 0: message, 1: fields} = record;
  return JSON.stringify({
    message,
    level: meta.logLevelName,
    time: meta.date.toISOString(),
    ...Object(fields),
  });
}
