/** The record of each decision about a request, which the why command reads. */
export {DecisionLog, type RequestDecisions} from './decision-log.ts';
export {renderDecisions} from './render-decisions.ts';
