import {waitFor, type Clock} from '@hollowstack/clock';
import {HollowstackError} from '@hollowstack/errors';
import {StoreError} from '@hollowstack/store';
import type {CallOutcome, StoredAnswer} from '@hollowstack/types';
import {match} from 'ts-pattern';
import type {ClaimIdentity, ClaimStore, HeldClaim} from './claim-store.ts';

/** Dependencies of ClaimedCalls. */
export interface ClaimedCallsParts {
  readonly claims: ClaimStore;
  readonly clock: Clock;
  /**
   * Asks the instance that holds a claim how its call ended, and waits at most
   * `waitMs` for the end. Resolves to undefined if that instance cannot be
   * reached or does not know the call.
   */
  readonly askOutcome: (
    claim: HeldClaim,
    waitMs: number,
  ) => Promise<CallOutcome | undefined>;
  /** Called if a claim has no known outcome. */
  readonly recordUnknownOutcome: (claim: HeldClaim) => void;
}

interface LocalCall {
  readonly requestId: string;
  readonly outcome: Promise<CallOutcome>;
  /** Milliseconds since the epoch; undefined while the call runs. */
  endedAtMs: number | undefined;
}

/** Milliseconds between attempts to record an outcome in the store. */
const RECORD_RETRY_MS = 500;
/** Milliseconds for which outcomes are retained in memory; longer than any deadline. */
const OUTCOME_RETENTION_MS = 60_000;
/**
 * Milliseconds before a call's deadline at which a call without a claim is
 * refused, and the wait for an earlier call's outcome ends.
 */
const CLAIM_MARGIN_MS = 50;

/** Runs each claimed call at most once and answers resends with the first call's answer. */
export class ClaimedCalls {
  private readonly parts: ClaimedCallsParts;
  private readonly localCalls = new Map<string, LocalCall>();
  private readonly unfinishedWork = new Set<Promise<unknown>>();

  constructor(parts: ClaimedCallsParts) {
    this.parts = parts;
  }

  /**
   * Runs a call unless it was claimed before. Resolves to the answer of the first
   * run, or to undefined if `runCall` resolved to an outcome without an answer.
   *
   * @param deadlineMs Milliseconds since the epoch.
   * @param runCall Runs the call and resolves to its outcome; must not reject.
   * @throws HollowstackError `store-unavailable`, `store-restored` or
   *   `deadline-exceeded` (not run), `key-reused`, `outcome-unknown`, or
   *   `overloaded` if another resend took over the claim.
   */
  runOnce(
    identity: ClaimIdentity,
    deadlineMs: number,
    runCall: () => Promise<CallOutcome>,
  ): Promise<StoredAnswer | undefined> {
    const running = this.runUnderClaim(identity, deadlineMs, runCall);
    this.addUnfinished(running);
    return running;
  }

  private async runUnderClaim(
    identity: ClaimIdentity,
    deadlineMs: number,
    runCall: () => Promise<CallOutcome>,
  ): Promise<StoredAnswer | undefined> {
    const claim = await this.acquireClaim(identity, deadlineMs);
    if (claim.record.requestId !== identity.requestId) {
      return this.answerResend(claim, identity, deadlineMs, runCall);
    }
    return this.runClaimed(claim, deadlineMs, runCall);
  }

  /**
   * Finds how a call of this instance ended, and waits at most `waitMs` for its
   * end; used to answer other instances.
   */
  async findOutcome(
    claimKey: string,
    requestId: string,
    waitMs: number,
  ): Promise<CallOutcome | undefined> {
    const call = this.localCalls.get(claimKey);
    if (!call || call.requestId !== requestId) return undefined;
    return Promise.race([
      call.outcome,
      waitFor(this.parts.clock, waitMs).then((): undefined => undefined),
    ]);
  }

  /** Resolves once every call has ended and is recorded; a graceful stop waits for it. */
  async waitForRecording(): Promise<void> {
    while (this.unfinishedWork.size > 0) {
      await Promise.allSettled(this.unfinishedWork);
    }
  }

  private async acquireClaim(
    identity: ClaimIdentity,
    deadlineMs: number,
  ): Promise<HeldClaim> {
    const {claims} = this.parts;
    try {
      const giveUpAtMs = deadlineMs - CLAIM_MARGIN_MS;
      return (await claims.acquireClaim(identity, giveUpAtMs)).claim;
    } catch (error) {
      if (!(error instanceof HollowstackError)) throw error;
      // The store may have written the claim, or may do so later. Recording `not-run`
      // lets this instance answer a resend that finds the claim.
      this.recordLocalCall(identity, Promise.resolve({type: 'not-run'}));
      throw new HollowstackError(
        error.kind,
        `the call was not run: its claim could not be made (${error.message})`,
        {cause: error},
      );
    }
  }

  private async runClaimed(
    claim: HeldClaim,
    deadlineMs: number,
    runCall: () => Promise<CallOutcome>,
  ): Promise<StoredAnswer | undefined> {
    const {clock} = this.parts;
    // The process may have been paused since the claim was acquired.
    const isLate = clock.getNow() >= deadlineMs;
    const running: Promise<CallOutcome> = isLate
      ? Promise.resolve({type: 'not-run'})
      : runCall();
    const {key, record} = claim;
    this.recordLocalCall({key, requestId: record.requestId}, running);
    const outcome = await running;
    this.startRecording(claim, outcome);
    if (isLate) {
      throw new HollowstackError('deadline-exceeded', 'too late to begin', {
        ran: 'no',
      });
    }
    return outcome.type === 'finished' ? outcome.answer : undefined;
  }

  private async answerResend(
    claim: HeldClaim,
    identity: ClaimIdentity,
    deadlineMs: number,
    runCall: () => Promise<CallOutcome>,
  ): Promise<StoredAnswer | undefined> {
    if (claim.record.fingerprint !== identity.fingerprint) {
      throw new HollowstackError(
        'key-reused',
        'the idempotency key was used for a call with other content',
      );
    }
    const outcome =
      claim.record.outcome ?? (await this.findFirstOutcome(claim, deadlineMs));
    return match(outcome)
      .with({type: 'finished'}, ({answer}) => answer)
      .with({type: 'not-run'}, () =>
        this.takeOverClaim(claim, identity, deadlineMs, runCall),
      )
      .with({type: 'unknown'}, undefined, () => {
        this.parts.recordUnknownOutcome(claim);
        throw new HollowstackError(
          'outcome-unknown',
          `the first call ${claim.record.requestId} has no known outcome`,
        );
      })
      .exhaustive();
  }

  private async findFirstOutcome(
    claim: HeldClaim,
    deadlineMs: number,
  ): Promise<CallOutcome | undefined> {
    const {clock, askOutcome, claims} = this.parts;
    const waitMs = Math.max(0, deadlineMs - clock.getNow() - CLAIM_MARGIN_MS);
    const {key, record} = claim;
    const localCall = this.localCalls.get(key);
    const reported =
      localCall?.requestId === record.requestId
        ? await this.findOutcome(key, record.requestId, waitMs)
        : await askOutcome(claim, waitMs);
    if (reported) return reported;
    // The holder is unreachable or does not know the call, but may have recorded
    // the outcome before it stopped.
    const stored = await claims
      .readClaim(key)
      .catch((): undefined => undefined);
    return stored?.record.outcome;
  }

  private async takeOverClaim(
    claim: HeldClaim,
    identity: ClaimIdentity,
    deadlineMs: number,
    runCall: () => Promise<CallOutcome>,
  ): Promise<StoredAnswer | undefined> {
    const replaced = await this.parts.claims
      .replaceClaim(claim, identity)
      .catch((error: unknown) => {
        this.recordLocalCall(identity, Promise.resolve({type: 'not-run'}));
        throw error;
      });
    if (replaced) return this.runClaimed(replaced, deadlineMs, runCall);
    throw new HollowstackError(
      'overloaded',
      'another resend of the call came first; send it again for its answer',
    );
  }

  private recordLocalCall(
    {key, requestId}: Pick<ClaimIdentity, 'key' | 'requestId'>,
    outcome: Promise<CallOutcome>,
  ): void {
    this.removeExpiredCalls();
    const call: LocalCall = {requestId, outcome, endedAtMs: undefined};
    this.localCalls.delete(key);
    this.localCalls.set(key, call);
    const markEnded = () => {
      call.endedAtMs = this.parts.clock.getNow();
    };
    outcome.then(markEnded, markEnded);
  }

  private removeExpiredCalls(): void {
    const oldestMs = this.parts.clock.getNow() - OUTCOME_RETENTION_MS;
    for (const [key, {endedAtMs}] of this.localCalls) {
      if (endedAtMs === undefined) continue;
      if (endedAtMs > oldestMs) return;
      this.localCalls.delete(key);
    }
  }

  private startRecording(claim: HeldClaim, outcome: CallOutcome): void {
    this.addUnfinished(this.recordUntilDone(claim, outcome));
  }

  private addUnfinished(work: Promise<unknown>): void {
    const removeWork = () => this.unfinishedWork.delete(work);
    this.unfinishedWork.add(work);
    work.then(removeWork, removeWork);
  }

  private async recordUntilDone(
    claim: HeldClaim,
    outcome: CallOutcome,
  ): Promise<void> {
    while (true) {
      try {
        await this.parts.claims.recordOutcome(claim, outcome);
        return;
      } catch (error) {
        if (!(error instanceof StoreError)) throw error;
      }
      await waitFor(this.parts.clock, RECORD_RETRY_MS);
    }
  }
}
