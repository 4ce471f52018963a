/** Assigns requests to model engines; one coordinator decides for all instances. */
export {
  chooseEngine,
  type AssignmentChoice,
  type AssignmentInput,
  type EngineCandidate,
} from './engine-choice.ts';
export {EngineDirectory} from './engine-directory.ts';
export {PromptCacheModel} from './prompt-cache-model.ts';
