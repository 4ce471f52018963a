import {createHash} from 'node:crypto';
import {callOutcomeSchema} from '@hollowstack/types';
import {z} from 'zod';

/** Store key prefix of claims. */
export const CLAIM_PREFIX = 'hollowstack/claims/';

/** Stored record of a claim: which instance runs the call and how the call ended. */
export const claimRecordSchema = z.object({
  requestId: z.string(),
  /** The instance that may run the call. */
  instance: z.string(),
  /** Hash of the call; distinguishes a resend from a different call under the same key. */
  fingerprint: z.string(),
  /** Absent while the call may still be running. */
  outcome: callOutcomeSchema.optional(),
});
/** Stored record of a claim. */
export type ClaimRecord = z.infer<typeof claimRecordSchema>;

/** Creates the store key of a claim; hashes the idempotency key, so that it may be any text. */
export function createClaimKey(
  workspace: string,
  service: string,
  idempotencyKey: string,
): string {
  const digest = createHash('sha256').update(idempotencyKey).digest('hex');
  return `${CLAIM_PREFIX}${workspace}/${service}/${digest}`;
}
