/** The list of error kinds, the answer for each kind, and problem details. */
export {ERROR_KINDS, type ErrorKind, type RunStatus} from './kinds.ts';
export {getErrorAnswer, type ErrorAnswer} from './answers.ts';
export {HollowstackError, toHollowstackError} from './hollowstack-error.ts';
export {createProblem, type Problem} from './problem.ts';
