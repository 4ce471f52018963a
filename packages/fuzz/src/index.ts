/** Stateful fuzzing of a complete system in one process, checked by an oracle. */
export {FuzzHarness} from './fuzz-harness.ts';
export {createCommandArbitrary, type FuzzCommand} from './commands.ts';
export {checkInvariants, type Violation} from './oracle.ts';
export {runFuzz, type FuzzOptions, type FuzzReport} from './run-fuzz.ts';
