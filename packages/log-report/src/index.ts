/** Parses the logs of gateways and summarizes them in tables. */
export {
  parseLog,
  type ParsedLog,
  type SettledLine,
  type StageCallLine,
} from './log-lines.ts';
export {
  assembleReport,
  type LogReport,
  type ReasonRow,
  type RouteRow,
  type ServiceRow,
} from './log-report.ts';
export {renderReport} from './render-report.ts';
