/** Starts the command line as separate processes, for tests with real kills, pauses and stops. */
export {ChildProcess} from './child-process.ts';
export {
  ProcessFleet,
  type EntryProcess,
  type FleetOptions,
} from './process-fleet.ts';
