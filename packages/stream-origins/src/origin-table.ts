import type {Clock} from '@hollowstack/clock';
import type {StreamOrigin} from '@hollowstack/types';
import {STREAM_RETENTION_MS} from './stream-retention.ts';

/** Maximum number of streams in the table; the least recently recorded are evicted first. */
const MAX_STREAMS = 20_000;

interface Entry {
  readonly service: string;
  readonly version: string;
  readonly recordedAtMs: number;
}

/** The streams whose origin this instance knows, for `STREAM_RETENTION_MS` each. */
export class OriginTable {
  private readonly clock: Pick<Clock, 'getNow'>;
  /** In the order of recording, the oldest first. */
  private readonly entries = new Map<string, Entry>();

  constructor(clock: Pick<Clock, 'getNow'>) {
    this.clock = clock;
  }

  /** Returns the number of streams, including expired ones that were not removed yet. */
  getSize(): number {
    return this.entries.size;
  }

  /** Records an origin. One that is known keeps its service and version and gets younger. */
  recordOrigin({key, service, version, ageMs}: StreamOrigin): void {
    const recordedAtMs = this.clock.getNow() - ageMs;
    const known = this.entries.get(key);
    this.entries.delete(key);
    this.entries.set(key, {
      service: known?.service ?? service,
      version: known?.version ?? version,
      recordedAtMs: Math.max(recordedAtMs, known?.recordedAtMs ?? -Infinity),
    });
    this.removeExpired();
  }

  findOrigin(key: string): StreamOrigin | undefined {
    const entry = this.entries.get(key);
    if (!entry) return undefined;
    const ageMs = this.clock.getNow() - entry.recordedAtMs;
    if (ageMs > STREAM_RETENTION_MS) return undefined;
    const {service, version} = entry;
    return {key, service, version, ageMs: Math.round(ageMs)};
  }

  private removeExpired(): void {
    const sinceMs = this.clock.getNow() - STREAM_RETENTION_MS;
    for (const [key, {recordedAtMs}] of this.entries) {
      if (recordedAtMs >= sinceMs && this.entries.size <= MAX_STREAMS) return;
      this.entries.delete(key);
    }
  }
}
