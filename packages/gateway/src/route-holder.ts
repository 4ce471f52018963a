import type {Clock} from '@hollowstack/clock';
import type {EventLogger} from '@hollowstack/logger';
import {RouteTable} from '@hollowstack/routes';
import type {RequestProtocol} from './request-protocol.ts';

/** The configuration in force and its origin, for the log. */
export interface RouteState {
  /** 0 before the first configuration. */
  readonly revision: number;
  /** Origin: `watch`, `store` or a peer; empty before the first configuration. */
  readonly source: string;
  /** Milliseconds since it came into force, or since the start before the first one. */
  readonly inForceMs: number;
}

/** Holds the routed configuration in force on one instance; its revision never decreases. */
export class RouteHolder {
  private readonly protocol: RequestProtocol;
  private readonly logger: EventLogger;
  private readonly clock: Clock;
  private readonly listeners: Array<(table: RouteTable) => void> = [];
  private current: RouteTable | undefined;
  private text = '';
  private unreadableText = '';
  private source = '';
  private inForceAtMs: number;

  constructor(protocol: RequestProtocol, logger: EventLogger, clock: Clock) {
    this.protocol = protocol;
    this.logger = logger;
    this.clock = clock;
    this.inForceAtMs = clock.getNow();
  }

  getCurrent(): RouteTable | undefined {
    return this.current;
  }

  /** Returns the revision in force, or 0 before the first one. */
  getRevision(): number {
    return this.current?.revision ?? 0;
  }

  getState(): RouteState {
    const inForceMs = Math.round(this.clock.getNow() - this.inForceAtMs);
    return {revision: this.getRevision(), source: this.source, inForceMs};
  }

  /** Returns the stored text of the configuration in force. */
  getText(): string {
    return this.text;
  }

  addListener(listener: (table: RouteTable) => void): void {
    this.listeners.push(listener);
  }

  /** Puts a configuration in force if it is valid and newer than the one in force. */
  offerText(text: string, source: string): void {
    if (text === this.text || text === this.unreadableText) return;
    const table = this.parseTable(text, source);
    if (!table) return;
    const inForce = this.getRevision();
    const {revision} = table;
    if (this.current && revision <= inForce) {
      this.logger.logEvent('routes.older-refused', {source, revision, inForce});
      return;
    }
    this.current = table;
    this.text = text;
    this.source = source;
    this.inForceAtMs = this.clock.getNow();
    this.logger.logEvent('routes.in-force', {
      source,
      revision,
      before: inForce,
      routes: table.configuration.routes.length,
      workspaces: table.configuration.workspaces?.length ?? 0,
    });
    for (const listener of this.listeners) listener(table);
  }

  private parseTable(text: string, source: string): RouteTable | undefined {
    try {
      return new RouteTable(this.protocol.parseConfiguration(text));
    } catch (error) {
      this.unreadableText = text;
      const reason = error instanceof Error ? error.message : String(error);
      this.logger.logEvent('routes.unreadable', {
        source,
        reason,
        inForce: this.getRevision(),
      });
      return undefined;
    }
  }
}
