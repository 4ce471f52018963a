/** The daemon: settings, HTTP endpoints, composition and graceful shutdown. */
export {
  removeSecrets,
  parseSettings,
  settingsSchema,
  type Settings,
} from './settings.ts';
export {Daemon, type DaemonEnvironment} from './daemon.ts';
export {createDaemon} from './create-daemon.ts';
export type {
  GroupStatus,
  InstanceStatus,
  LatencyStatus,
} from './status-reader.ts';
