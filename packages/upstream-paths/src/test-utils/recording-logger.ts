import {
  EventLogger,
  type EventFields,
  type EventName,
} from '@hollowstack/logger';

/** Keeps the logged events. */
export class RecordingLogger extends EventLogger {
  readonly events: Array<{name: EventName; fields: EventFields}> = [];

  logEvent(name: EventName, fields: EventFields = {}): void {
    this.events.push({name, fields});
  }
}
