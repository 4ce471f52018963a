import type {Clock} from '@hollowstack/clock';
import {getSoftwareVersion, type RegisteredUpstream} from '@hollowstack/routes';
import type {ObservedVersions} from '@hollowstack/types';
import {STREAM_RETENTION_MS} from './stream-retention.ts';

/** The software versions that each service had within `STREAM_RETENTION_MS`. */
export class VersionHistory {
  private readonly clock: Pick<Clock, 'getNow'>;
  /** When each version was last registered, by service; Infinity while it is. */
  private readonly services = new Map<string, Map<string, number>>();
  private firstUpdateAtMs: number | undefined;

  constructor(clock: Pick<Clock, 'getNow'>) {
    this.clock = clock;
  }

  /** Records the registered upstreams, those that are leaving included. */
  setUpstreams(upstreams: readonly RegisteredUpstream[]): void {
    const nowMs = this.clock.getNow();
    this.firstUpdateAtMs ??= nowMs;
    for (const versions of this.services.values()) {
      for (const [version, lastSeenMs] of versions) {
        if (lastSeenMs === Infinity) versions.set(version, nowMs);
        else if (lastSeenMs < nowMs - STREAM_RETENTION_MS)
          versions.delete(version);
      }
    }
    for (const upstream of upstreams) {
      const versions = this.services.get(upstream.service) ?? new Map();
      versions.set(getSoftwareVersion(upstream), Infinity);
      this.services.set(upstream.service, versions);
    }
  }

  getObserved(service: string): ObservedVersions {
    const nowMs = this.clock.getNow();
    const versions = [...(this.services.get(service) ?? [])]
      .filter(([, lastSeenMs]) => lastSeenMs >= nowMs - STREAM_RETENTION_MS)
      .map(([version]) => version);
    const observedMs = nowMs - (this.firstUpdateAtMs ?? nowMs);
    return {versions, observedMs: Math.round(observedMs)};
  }
}
