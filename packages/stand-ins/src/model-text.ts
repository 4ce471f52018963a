// The stand-ins' "models" are hashes: any process can compute the one right
// answer to a request, so a test sees at once when an answer is not whole or
// belongs to another request.

const FNV_OFFSET = 0x811c9dc5;
const FNV_PRIME = 0x01000193;
const EMBEDDING_LENGTH = 4;

/** Computes a 32-bit hash of a text, going on from an earlier one. */
export function computeHash(text: string, seed = FNV_OFFSET): number {
  let hash = seed;
  for (let index = 0; index < text.length; index++) {
    hash = Math.imul(hash ^ text.charCodeAt(index), FNV_PRIME) >>> 0;
  }
  return hash;
}

/** Computes the token that follows a text with the given hash. */
export function computeNextToken(textHash: number): string {
  return ` w${(textHash % 9973).toString(36)}`;
}

/** Computes what a model writes after a prompt. */
export function computeCompletion(
  model: string,
  prompt: string,
  tokenCount: number,
): string {
  let hash = computeHash(prompt, computeHash(model));
  let text = '';
  for (let count = 0; count < tokenCount; count++) {
    const token = computeNextToken(hash);
    hash = computeHash(token, hash);
    text += token;
  }
  return text;
}

/** Computes the vector of a text. */
export function computeEmbedding(text: string): number[] {
  let hash = computeHash(text);
  return Array.from({length: EMBEDDING_LENGTH}, () => {
    hash = computeHash('.', hash);
    return hash / 0x1_0000_0000;
  });
}

/** A document as the retriever answers it. */
export interface StandInDocument {
  readonly id: string;
  readonly text: string;
}

/** Computes the documents nearest to a vector. */
export function computeDocuments(
  embedding: readonly number[],
  top: number,
): StandInDocument[] {
  const seed = computeHash(JSON.stringify(embedding));
  return Array.from({length: top}, (_, index) => {
    const hash = computeHash(String(index), seed).toString(36);
    return {id: `d-${hash}`, text: `document ${hash}`};
  });
}

/** Computes how well a document answers a query, from 0 to 1. */
export function computeRerankScore(query: string, text: string): number {
  return computeHash(text, computeHash(query)) / 0x1_0000_0000;
}

/** Computes the prompt for an input after the stages that a template has before it. */
export function computePromptText(
  input: string,
  documents: readonly string[],
): string {
  if (documents.length === 0) return input;
  return `${documents.join('\n')}\n\n${input}`;
}

const RETRIEVED_DOCUMENTS = 8;
const KEPT_DOCUMENTS = 3;

/** Computes what a pipeline of all four stages answers, with 8 documents found and 3 kept. */
export function computeChatAnswer(
  model: string,
  input: string,
  tokenCount: number,
): string {
  const kept = computeDocuments(computeEmbedding(input), RETRIEVED_DOCUMENTS)
    .map(({text}) => ({text, score: computeRerankScore(input, text)}))
    .sort((left, right) => right.score - left.score)
    .slice(0, KEPT_DOCUMENTS)
    .map(({text}) => text);
  return computeCompletion(model, computePromptText(input, kept), tokenCount);
}
