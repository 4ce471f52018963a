/** Runs the command-line program as separate processes, for tests that kill, pause and stop real processes. */
export {LoadLoop} from './load-loop.ts';
export {ChildProcess} from './child-process.ts';
export {
  ProcessFleet,
  type EntryProcess,
  type UpstreamProcess,
  type FleetOptions,
} from './process-fleet.ts';
