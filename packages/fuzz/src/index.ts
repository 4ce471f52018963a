/** Stateful fuzzing of the whole system in process, against a simple oracle. */
export {FuzzHarness} from './fuzz-harness.ts';
export {createCommandArbitrary, type FuzzCommand} from './commands.ts';
export {checkInvariants, type Violation} from './oracle.ts';
export {runFuzz, type FuzzOptions, type FuzzReport} from './run-fuzz.ts';
