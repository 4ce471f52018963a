/** Starts the command line as separate processes, for tests with real kills, pauses and stops. */
export {LoadLoop} from './load-loop.ts';
export {ChildProcess} from './child-process.ts';
export {
  ProcessFleet,
  type EntryProcess,
  type UpstreamProcess,
  type FleetOptions,
} from './process-fleet.ts';
