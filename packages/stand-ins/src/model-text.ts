// The models of the stand-ins are deterministic hash functions: any process can compute the
// expected answer to a request, so a test detects an answer that is incomplete or belongs to
// another request.

const FNV_OFFSET = 0x811c9dc5;
const FNV_PRIME = 0x01000193;
const EMBEDDING_LENGTH = 4;

/** Computes the 32-bit FNV-1a hash of a text, continuing from an earlier hash if given. */
export function computeHash(text: string, seed = FNV_OFFSET): number {
  let hash = seed;
  for (let index = 0; index < text.length; index++) {
    hash = Math.imul(hash ^ text.charCodeAt(index), FNV_PRIME) >>> 0;
  }
  return hash;
}

/** Computes the token that the models generate after a text with the given hash. */
export function computeNextToken(textHash: number): string {
  return ` w${(textHash % 9973).toString(36)}`;
}

/** Computes the completion that a model generates for a prompt. */
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

/** Computes the embedding of a text. */
export function computeEmbedding(text: string): number[] {
  let hash = computeHash(text);
  return Array.from({length: EMBEDDING_LENGTH}, () => {
    hash = computeHash('.', hash);
    return hash / 0x1_0000_0000;
  });
}

/** A document in an answer of the retriever. */
export interface StandInDocument {
  readonly id: string;
  readonly text: string;
}

/** Computes the `top` documents that the retriever returns for an embedding. */
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

/** Computes the relevance of a document to a query, from 0 to below 1. */
export function computeRerankScore(query: string, text: string): number {
  return computeHash(text, computeHash(query)) / 0x1_0000_0000;
}

/** Computes the prompt for an input and the documents that earlier stages selected, if any. */
export function computePromptText(
  input: string,
  documents: readonly string[],
): string {
  if (documents.length === 0) return input;
  return `${documents.join('\n')}\n\n${input}`;
}

const RETRIEVED_DOCUMENTS = 8;
const RERANKED_DOCUMENTS = 3;

/** Computes the answer of a pipeline with all four stages that retrieves 8 documents and reranks to 3. */
export function computeChatAnswer(
  model: string,
  input: string,
  tokenCount: number,
): string {
  const topDocuments = computeDocuments(
    computeEmbedding(input),
    RETRIEVED_DOCUMENTS,
  )
    .map(({text}) => ({text, score: computeRerankScore(input, text)}))
    .sort((left, right) => right.score - left.score)
    .slice(0, RERANKED_DOCUMENTS)
    .map(({text}) => text);
  return computeCompletion(
    model,
    computePromptText(input, topDocuments),
    tokenCount,
  );
}
