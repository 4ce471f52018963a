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
  recordTrial,
  type FailureKind,
  type HealthState,
} from '@hollowstack/routing';
import type {BackOffTable} from '@hollowstack/upstream-signals';

/** Weight of the newest call in the slowness. */
const SLOWNESS_WEIGHT = 0.3;

/** Milliseconds after which room that was missing is tried again. */
const UNKNOWN_ROOM_MS = 400;

/** An upstream of a stage service with what the coordinator knows of it. */
export class StageUpstream {
  record: RegisteredUpstream;
  callsInFlight = 0;
  idleSinceMs = 0;
  /** The upstream called itself full and named no time; it is left alone until then. */
  pausedUntilMs = 0;
  private readonly backOffs: Pick<BackOffTable, 'maySend'>;
  private unknownBytes = 0;
  private unknownUntilMs = 0;
  private readonly slowness = new Slowness(SLOWNESS_WEIGHT);
  private health: HealthState = createHealthyState();

  constructor(
    record: RegisteredUpstream,
    backOffs: Pick<BackOffTable, 'maySend'>,
  ) {
    this.record = record;
    this.backOffs = backOffs;
  }

  /** Returns whether calls may go there at all. */
  isUsable(nowMs: number): boolean {
    return (
      isAcceptingWork(this.record) &&
      this.backOffs.maySend(this.record.id) &&
      isCandidate(this.health, nowMs)
    );
  }

  /** Returns whether a call may go there now. */
  isFree(nowMs: number, capacity: StageCapacity): boolean {
    return (
      this.isUsable(nowMs) &&
      this.callsInFlight < capacity.concurrency &&
      this.pausedUntilMs <= nowMs
    );
  }

  /** Returns how long calls take there over what they should. */
  getSlowness(nowMs: number): number {
    return this.slowness.getValue(nowMs);
  }

  /** Returns the bytes that results of others take there, as far as was noticed. */
  getUntrackedBytes(nowMs: number): number {
    return nowMs < this.unknownUntilMs ? this.unknownBytes : 0;
  }

  /** Notes that the upstream has less room than was reckoned. */
  addUntrackedBytes(bytes: number, nowMs: number): void {
    if (bytes <= 0) return;
    this.unknownBytes = this.getUntrackedBytes(nowMs) + bytes;
    this.unknownUntilMs = nowMs + UNKNOWN_ROOM_MS;
  }

  beginCall(): void {
    this.callsInFlight += 1;
    this.health = recordTrial(this.health);
  }

  endCall(nowMs: number): void {
    this.callsInFlight -= 1;
    this.idleSinceMs = nowMs;
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
