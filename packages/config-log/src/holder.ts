import type {EventLogger} from '@hollowstack/logger';
import type {ConfigurationSnapshot} from '@hollowstack/types';
import {Configuration} from './configuration.ts';

/** Result of offering a snapshot. */
export type OfferOutcome = 'in-force' | 'known' | 'older-refused' | 'forked';

/** Holds the configuration in force on an instance; its revision never decreases. */
export class ConfigurationHolder {
  private readonly logger: EventLogger;
  private readonly listeners: Array<(configuration: Configuration) => void> =
    [];
  private current: Configuration | undefined;

  constructor(logger: EventLogger) {
    this.logger = logger;
  }

  /** Returns the configuration in force, or undefined if there has been none yet. */
  getCurrent(): Configuration | undefined {
    return this.current;
  }

  /** Returns the revision in force, or 0 if there has been none yet. */
  getRevision(): number {
    return this.current?.revision ?? 0;
  }

  /** Adds a function that is called with each configuration put in force. */
  addListener(listener: (configuration: Configuration) => void): void {
    this.listeners.push(listener);
  }

  /** Puts a snapshot in force if it is newer than the one in force. */
  offerSnapshot(snapshot: ConfigurationSnapshot, source: string): OfferOutcome {
    const {revision, changeId} = snapshot.head;
    const outcome = this.judgeOffer(revision, changeId);
    if (outcome === 'older-refused') {
      this.logger.logEvent('config.older-refused', {
        source,
        revision,
        inForce: this.getRevision(),
      });
    }
    if (outcome === 'forked') {
      this.logger.logEvent('config.forked', {source, revision, changeId});
    }
    if (outcome === 'in-force') this.putInForce(snapshot, source);
    return outcome;
  }

  private judgeOffer(revision: number, changeId: string): OfferOutcome {
    if (!this.current || revision > this.current.revision) return 'in-force';
    if (revision < this.current.revision) return 'older-refused';
    const isSame = this.current.snapshot.head.changeId === changeId;
    return isSame ? 'known' : 'forked';
  }

  private putInForce(snapshot: ConfigurationSnapshot, source: string): void {
    const configuration = new Configuration(snapshot);
    this.current = configuration;
    const {revision, changeId} = snapshot.head;
    this.logger.logEvent('config.in-force', {source, revision, changeId});
    for (const listener of this.listeners) listener(configuration);
  }
}
