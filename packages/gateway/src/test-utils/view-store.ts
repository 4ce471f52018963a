import {addAbortHandler} from '@hollowstack/cancellation';
import type {
  KeyRange,
  KeyValue,
  RangeResult,
  WatchCall,
  WatchCallAnswer,
  WatchEvent,
} from '@hollowstack/store';

/** Key prefix of the upstreams' registrations. */
export const UPSTREAM_PREFIX = 'upstreams/';
/** Key prefix of everything that operators write. */
export const OPERATOR_PREFIX = 'operators/';
/** Key of the configuration. */
export const CONFIGURATION_KEY = 'operators/configuration';
/** Key prefix of evacuations. */
export const EVACUATION_PREFIX = 'operators/evacuated/';

/** An in-memory store with its history, shared by the instances of a fleet. */
export class ViewStore {
  private revision = 1;
  private readonly keyValues = new Map<string, KeyValue>();
  private readonly events: WatchEvent[] = [];
  private readonly waiters = new Set<() => void>();

  putUpstream(id: string, value: 'ready' | 'leaving'): void {
    this.put(UPSTREAM_PREFIX + id, value);
  }

  removeUpstream(id: string): void {
    this.remove(UPSTREAM_PREFIX + id);
  }

  remove(key: string): void {
    this.keyValues.delete(key);
    this.addEvent({type: 'delete', key, value: ''});
  }

  putEvacuation(failureDomain: string): void {
    this.put(EVACUATION_PREFIX + failureDomain, '{}');
  }

  removeEvacuation(failureDomain: string): void {
    this.remove(EVACUATION_PREFIX + failureDomain);
  }

  putConfiguration(revision: number): void {
    this.put(CONFIGURATION_KEY, String(revision));
  }

  put(key: string, value: string): void {
    const modRevision = this.addEvent({type: 'put', key, value});
    this.keyValues.set(key, {
      key,
      value,
      modRevision,
      createRevision: modRevision,
    });
  }

  read(range: KeyRange): RangeResult {
    const keyValues = [...this.keyValues.values()].filter(({key}) =>
      key.startsWith(range.start),
    );
    return {storeId: 's', storeRevision: this.revision, keyValues};
  }

  listChanges({range, sinceRevision}: WatchCall): WatchCallAnswer {
    const events = this.events.filter(
      ({key, modRevision}) =>
        modRevision > sinceRevision && key.startsWith(range.start),
    );
    return {events, storeRevision: this.revision};
  }

  /** Resolves at the next change, or when the signal aborts. */
  waitForChange(signal: AbortSignal): Promise<void> {
    return new Promise(resolve => {
      const wake = () => {
        this.waiters.delete(wake);
        removeAbortHandler();
        resolve();
      };
      this.waiters.add(wake);
      let removeAbortHandler = () => {};
      removeAbortHandler = addAbortHandler(signal, wake);
    });
  }

  private addEvent(event: Omit<WatchEvent, 'modRevision'>): number {
    this.revision += 1;
    this.events.push({...event, modRevision: this.revision});
    for (const wake of [...this.waiters]) wake();
    return this.revision;
  }
}
