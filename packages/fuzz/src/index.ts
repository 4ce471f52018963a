/** Stateful fuzzing of the whole system in process, against a simple oracle. */
export {FuzzWorld} from './fuzz-world.ts';
export {createCommandArbitrary, type FuzzCommand} from './commands.ts';
export {checkPromises, type Violation} from './oracle.ts';
export {runFuzz, type FuzzOptions, type FuzzReport} from './run-fuzz.ts';
