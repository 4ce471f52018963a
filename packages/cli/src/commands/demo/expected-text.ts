import {computeChatAnswer, computeCompletion} from '@hollowstack/stand-ins';

const MODEL = 'assistant';
/** Number of tokens in the demo's chat answer. */
const CHAT_TOKENS = 24;
/** Number of tokens in the demo's summary. */
const SUMMARY_TOKENS = 120;

/** Computes the expected answer of the sample's chat pipeline. */
export function computeChatText(input: string): string {
  return computeChatAnswer(MODEL, input, CHAT_TOKENS);
}

/** Computes the expected answer of the sample's summary pipeline. */
export function computeSummaryText(input: string): string {
  return computeCompletion(MODEL, input, SUMMARY_TOKENS);
}
