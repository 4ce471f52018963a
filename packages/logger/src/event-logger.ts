import {Logger, type ILogObjMeta} from 'tslog';
import {EVENTS, type EventName} from './events.ts';

/** Log levels, the most verbose first. */
export const LOG_LEVELS = ['debug', 'info', 'warn', 'error'] as const;
/** One log level. */
export type LogLevel = (typeof LOG_LEVELS)[number];
/** Output format: one JSON object per line, or human-readable lines. */
export type LogFormat = 'json' | 'pretty';

/** Fields that are logged with an event; undefined values are omitted. */
export type EventFields = Readonly<
  Record<string, string | number | boolean | undefined>
>;

/** Logs numbered events. */
export abstract class EventLogger {
  /** Logs one event of the catalogue. */
  abstract logEvent(name: EventName, fields?: EventFields): void;
}

/** Discards every event; for embedding programs and tests that want no logs. */
export class SilentEventLogger extends EventLogger {
  logEvent(): void {}
}

/** Keeps events in memory, in order; for tests. */
export class ListingEventLogger extends EventLogger {
  readonly lines: Array<[EventName, EventFields]> = [];

  logEvent(name: EventName, fields: EventFields = {}): void {
    this.lines.push([name, fields]);
  }
}

/** Writes events to standard output with tslog. */
export class TslogEventLogger extends EventLogger {
  private readonly logger: Logger<unknown>;
  private readonly instance: string;

  /**
   * @param instance Id of the instance, part of every line.
   * @param writeLine Receives the lines if the format is `json`.
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
    const definedFields = Object.entries(fields).filter(
      ([, value]) => value !== undefined,
    );
    const record = {
      event: event.number,
      name,
      instance: this.instance,
      ...Object.fromEntries(definedFields),
    };
    this.logger[event.level](event.text, record);
  }
}

function writeToOutput(line: string): void {
  process.stdout.write(`${line}\n`);
}

// tslog's own JSON repeats time, level and host, which adds 200 bytes to an
// ordinary line.
function formatLine(record: ILogObjMeta): string {
  const {_logMeta: meta, 0: message, 1: fields} = record;
  return JSON.stringify({
    message,
    level: meta.logLevelName,
    time: meta.date.toISOString(),
    ...Object(fields),
  });
}
