/** The closed list of error kinds, the table from kind to answer, and problem details. */
export {ERROR_KINDS, type ErrorKind, type RunStatus} from './kinds.ts';
export {getErrorAnswer, type ErrorAnswer} from './answers.ts';
export {HollowstackError, toHollowstackError} from './hollowstack-error.ts';
export {createProblem, type Problem} from './problem.ts';
