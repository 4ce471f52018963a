import type {EventLogger} from '@hollowstack/logger';
import type {RegisteredUpstream} from '@hollowstack/routes';
import {
  UnreadableEntryError,
  type RequestProtocol,
} from './request-protocol.ts';

/** Entries kept that could not be read. */
const MAX_UNREADABLE = 1000;

/** Reads registrations of upstreams; those that cannot be read are logged once each. */
export class EntryReader {
  private readonly protocol: Pick<RequestProtocol, 'parseUpstream'>;
  private readonly logger: EventLogger;
  /** Texts that could not be read, by their key. */
  private readonly unreadable = new Map<string, string>();

  constructor(
    protocol: Pick<RequestProtocol, 'parseUpstream'>,
    logger: EventLogger,
  ) {
    this.protocol = protocol;
    this.logger = logger;
  }

  /** Parses an entry; undefined where it names no upstream. */
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

  /** Forgets an entry that is gone. */
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
