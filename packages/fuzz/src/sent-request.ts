import type {CallerAnswer} from '@hollowstack/local-system';
import type {Problem} from '@hollowstack/errors';

/** The answer that a caller received, or the error of its broken connection. */
export type Outcome =
  | {readonly type: 'answer'; readonly answer: CallerAnswer}
  | {
      readonly type: 'stream';
      readonly text: string;
      readonly isComplete: boolean;
      readonly problem: Problem | undefined;
    }
  | {readonly type: 'broken'; readonly message: string};

/** One request that a caller has sent. */
export interface SentRequest {
  readonly kind: 'whole' | 'stream' | 'booking';
  readonly instance: string;
  /** Input of the pipeline, or body of the booking. */
  readonly subject: string;
  readonly pipeline: 'chat' | 'summary' | undefined;
  readonly idempotencyKey: string | undefined;
  readonly sentAtMs: number;
  /** Milliseconds from the request within which the caller must have an answer. */
  readonly deadlineMs: number;
  readonly controller: AbortController;
  /** Whether the caller disconnected before it had an answer. */
  isCallerDisconnected: boolean;
  /** Whether the instance was not running at the start, or was killed or paused before the outcome. */
  isInstanceFaulted: boolean;
  outcome: Outcome | undefined;
  settledAtMs: number;
}
