import type {CallerAnswer} from '@hollowstack/local-system';
import type {Problem} from '@hollowstack/errors';

/** What a caller was told, or that its connection broke. */
export type Outcome =
  | {readonly type: 'answer'; readonly answer: CallerAnswer}
  | {
      readonly type: 'stream';
      readonly text: string;
      readonly isWhole: boolean;
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
  /** Milliseconds within which the caller must have heard. */
  readonly deadlineMs: number;
  readonly controller: AbortController;
  /** Whether the caller itself went away. */
  isCallerGone: boolean;
  /** Whether its instance was killed or paused meanwhile. */
  isInstanceFaulted: boolean;
  outcome: Outcome | undefined;
  settledAtMs: number;
}
