/** Checkpoints stage results in the store and releases orphaned results. */
export {
  CheckpointWriter,
  type CheckpointWriterParts,
} from './checkpoint-writer.ts';
export {OrphanReleaser, type OrphanReleaserParts} from './orphan-releaser.ts';
