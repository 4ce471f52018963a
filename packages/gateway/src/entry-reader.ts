import type {EventLogger} from '@hollowstack/logger';
import type {RegisteredUpstream} from '@hollowstack/routes';
import {
  UnreadableEntryError,
  type RequestProtocol,
} from './request-protocol.ts';

/** Maximum number of remembered unreadable entries; the oldest are evicted first. */
const MAX_UNREADABLE = 1000;

/** Parses registrations of upstreams and logs each unreadable one once. */
export class EntryReader {
  private readonly protocol: Pick<RequestProtocol, 'parseUpstream'>;
  private readonly logger: EventLogger;
  /** Values that could not be parsed, by key. */
  private readonly unreadable = new Map<string, string>();

  constructor(
    protocol: Pick<RequestProtocol, 'parseUpstream'>,
    logger: EventLogger,
  ) {
    this.protocol = protocol;
    this.logger = logger;
  }

  /** Parses an entry; undefined if it is unreadable. */
  parseEntry(
    key: string,
    text: string,
    source: string,
  ): RegisteredUpstream | undefined {
    try {
      const parsed = this.protocol.parseUpstream(key, text);
      this.unreadable.delete(key);
      return parsed;
    } catch (error) {
      if (!(error instanceof UnreadableEntryError)) throw error;
      this.recordUnreadable(key, text, error.message, source);
      return undefined;
    }
  }

  /** Forgets a removed entry, so that it is logged again if it returns. */
  removeEntry(key: string): void {
    this.unreadable.delete(key);
  }

  private recordUnreadable(
    key: string,
    text: string,
    reason: string,
    source: string,
  ): void {
    if (this.unreadable.get(key) === text) return;
    this.logger.logEvent('upstream.unreadable', {key, reason, source});
    this.unreadable.set(key, text);
    if (this.unreadable.size <= MAX_UNREADABLE) return;
    const [oldest] = this.unreadable.keys();
    this.unreadable.delete(oldest);
  }
}
