/** Runs calls with an idempotency key at most once. */
export {
  ClaimStore,
  type ClaimIdentity,
  type ClaimResult,
  type HeldClaim,
} from './claim-store.ts';
export {ClaimedCalls, type ClaimedCallsParts} from './claimed-calls.ts';
export {
  CLAIM_PREFIX,
  claimRecordSchema,
  createClaimKey,
  type ClaimRecord,
} from './claim-record.ts';
