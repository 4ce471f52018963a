/** Checkpoints of stage results in the store, and giving back what nobody can read. */
export {
  CheckpointWriter,
  type CheckpointWriterParts,
} from './checkpoint-writer.ts';
export {OrphanReleaser, type OrphanReleaserParts} from './orphan-releaser.ts';
