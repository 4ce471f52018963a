import {HollowstackError} from '@hollowstack/errors';
import type {PromptPart} from '@hollowstack/types';

/** Maximum number of pieces that a request may state for a stage. */
export const MAX_STAGE_PIECES = 4096;
/** Maximum number of tokens that a request may state for a part of its prompt. */
export const MAX_PART_TOKENS = 100_000_000;

/**
 * Checks the numbers of pieces that a caller states for the stages of its request.
 *
 * @throws HollowstackError `bad-request` if one is not a whole number from 0 to
 * `MAX_STAGE_PIECES`.
 */
export function checkStageCounts(counts: readonly number[]): void {
  const wrong = counts.find(count => !isWholeNumber(count, MAX_STAGE_PIECES));
  if (wrong === undefined) return;
  throw new HollowstackError(
    'bad-request',
    `a stage cannot have ${wrong} pieces: state a whole number up to ${MAX_STAGE_PIECES}`,
  );
}

/**
 * Checks the parts of a prompt that a caller states.
 *
 * @throws HollowstackError `bad-request` if a number of tokens is not a whole number from 0 to
 * `MAX_PART_TOKENS`.
 */
export function checkPromptParts(parts: readonly PromptPart[]): void {
  const wrong = parts.find(
    ({tokens}) => !isWholeNumber(tokens, MAX_PART_TOKENS),
  );
  if (!wrong) return;
  throw new HollowstackError(
    'bad-request',
    `a part of a prompt cannot have ${wrong.tokens} tokens: state a whole number up to ${MAX_PART_TOKENS}`,
  );
}

function isWholeNumber(value: number, max: number): boolean {
  return Number.isInteger(value) && value >= 0 && value <= max;
}
