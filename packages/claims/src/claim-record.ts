import {createHash} from 'node:crypto';
import {callOutcomeSchema} from '@hollowstack/types';
import {z} from 'zod';

/** Prefix of the claims. */
export const CLAIM_PREFIX = 'hollowstack/claims/';

/** What the platform's service holds of a claimed call. */
export const claimRecordSchema = z.object({
  requestId: z.string(),
  /** The instance that may run the call. */
  instance: z.string(),
  /** Hash of the call, to tell a resend from another call under the same key. */
  fingerprint: z.string(),
  /** Absent while the call may be running. */
  outcome: callOutcomeSchema.optional(),
});
/** What the platform's service holds of a claimed call. */
export type ClaimRecord = z.infer<typeof claimRecordSchema>;

/** Creates the store's key for an idempotency key, whatever characters it holds. */
export function createClaimKey(
  workspace: string,
  service: string,
  idempotencyKey: string,
): string {
  const digest = createHash('sha256').update(idempotencyKey).digest('hex');
  return `${CLAIM_PREFIX}${workspace}/${service}/${digest}`;
}
