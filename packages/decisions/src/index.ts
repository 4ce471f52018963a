/** Records the decisions about each request, which the why command prints. */
export {DecisionLog, type RequestDecisions} from './decision-log.ts';
export {renderDecisions} from './render-decisions.ts';
