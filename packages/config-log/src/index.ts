/** Checks, publishes and follows the operators' configuration; its revision never decreases. */
export {
  CHANGE_ID_PREFIX,
  CHANGE_PREFIX,
  HEAD_KEY,
  OBJECT_PREFIX,
} from './keys.ts';
export {
  Configuration,
  createEmptySnapshot,
  getObjectId,
} from './configuration.ts';
export {checkConfiguration, type Finding} from './check-configuration.ts';
export {
  parseConfigurationToml,
  renderConfigurationToml,
  type ParsedConfiguration,
} from './configuration-toml.ts';
export {
  assemblePublishPlan,
  assembleRestorePlan,
  type PublishPlan,
  type PublishRequest,
} from './publish-plan.ts';
export {ConfigurationPublisher, type PublishResult} from './publisher.ts';
export {ConfigurationHolder, type OfferOutcome} from './holder.ts';
export {ConfigurationFollower} from './follower.ts';
export {readChangeRecords, readStoredSnapshot} from './stored-snapshot.ts';
