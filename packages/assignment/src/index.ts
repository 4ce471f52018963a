/** Which model engine a request goes to, decided over all instances together. */
export {
  chooseEngine,
  type AssignmentChoice,
  type AssignmentInput,
  type EngineView,
} from './assignment-plan.ts';
export {EngineDirectory} from './engine-directory.ts';
export {PromptCache} from './prompt-cache.ts';
