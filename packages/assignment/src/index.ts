/** Which model engine a request goes to, decided over all instances together. */
export {
  chooseEngine,
  type AssignmentChoice,
  type AssignmentInput,
  type EngineCandidate,
} from './engine-choice.ts';
export {EngineDirectory} from './engine-directory.ts';
export {PromptCacheModel} from './prompt-cache-model.ts';
