import {
  isAcceptingWork,
  type RegisteredUpstream,
  type StageCapacity,
} from '@hollowstack/routes';
import {
  DEFAULT_HEALTH_POLICY,
  Slowness,
  createHealthyState,
  isCandidate,
  recordFailure,
  recordSuccess,
  cancelTrial,
  recordTrial,
  type FailureKind,
  type HealthState,
} from '@hollowstack/routing';
import type {BackOffTable} from '@hollowstack/upstream-signals';

/** Weight of the newest call in the moving average of the slowness. */
const SLOWNESS_WEIGHT = 0.3;

/** Time for which untracked bytes are assumed to stay in use. */
const UNTRACKED_BYTES_TTL_MS = 400;

/** The coordinator's state of one upstream of a stage service. */
export class StageUpstream {
  record: RegisteredUpstream;
  callsInFlight = 0;
  idleSinceMs = 0;
  /** End of the pause after the upstream refused a call without naming a retry delay. */
  pausedUntilMs = 0;
  private readonly backOffs: Pick<BackOffTable, 'maySend'>;
  private untrackedBytes = 0;
  private untrackedUntilMs = 0;
  private readonly slowness = new Slowness(SLOWNESS_WEIGHT);
  private health: HealthState = createHealthyState();

  constructor(
    record: RegisteredUpstream,
    backOffs: Pick<BackOffTable, 'maySend'>,
  ) {
    this.record = record;
    this.backOffs = backOffs;
  }

  /**
   * Returns whether the upstream accepts work, is not backing off, and is healthy or due a
   * trial call.
   */
  isUsable(nowMs: number): boolean {
    return (
      isAcceptingWork(this.record) &&
      this.backOffs.maySend(this.record.id) &&
      isCandidate(this.health, nowMs)
    );
  }

  /** Returns whether the upstream can take a call now. */
  isFree(nowMs: number, capacity: StageCapacity): boolean {
    return (
      this.isUsable(nowMs) &&
      this.callsInFlight < capacity.concurrency &&
      this.pausedUntilMs <= nowMs
    );
  }

  /**
   * Returns the ratio of the duration of calls to the expected duration; 1 is normal
   * speed.
   */
  getSlowness(nowMs: number): number {
    return this.slowness.getValue(nowMs);
  }

  /**
   * Returns the bytes of results that other coordinators appear to have stored at the
   * upstream.
   */
  getUntrackedBytes(nowMs: number): number {
    return nowMs < this.untrackedUntilMs ? this.untrackedBytes : 0;
  }

  /** Records that the upstream has less free result memory than computed. */
  addUntrackedBytes(bytes: number, nowMs: number): void {
    if (bytes <= 0) return;
    this.untrackedBytes = this.getUntrackedBytes(nowMs) + bytes;
    this.untrackedUntilMs = nowMs + UNTRACKED_BYTES_TTL_MS;
  }

  beginCall(): void {
    this.callsInFlight += 1;
    this.health = recordTrial(this.health);
  }

  endCall(nowMs: number): void {
    this.callsInFlight -= 1;
    this.idleSinceMs = nowMs;
  }

  /** Records that a call ended without showing whether the upstream is healthy. */
  cancelTrial(nowMs: number): void {
    this.health = cancelTrial(this.health, nowMs);
  }

  recordSuccess(nowMs: number, ratio: number): void {
    this.health = recordSuccess(this.health, nowMs);
    this.slowness.recordSample(ratio, nowMs);
  }

  recordFailure(nowMs: number, kind: FailureKind): void {
    this.health = recordFailure(
      this.health,
      kind,
      DEFAULT_HEALTH_POLICY,
      nowMs,
    );
  }
}
