import {computeChatAnswer, computeCompletion} from '@hollowstack/stand-ins';

const MODEL = 'assistant';
/** Tokens of the demo's chat answer, as its stand-in makes them. */
const CHAT_TOKENS = 24;
/** Tokens of the demo's summary, as its stand-in makes them. */
const SUMMARY_TOKENS = 120;

/** Computes what the sample's chat pipeline must answer. */
export function computeChatText(input: string): string {
  return computeChatAnswer(MODEL, input, CHAT_TOKENS);
}

/** Computes what the sample's summary pipeline must answer. */
export function computeSummaryText(input: string): string {
  return computeCompletion(MODEL, input, SUMMARY_TOKENS);
}
