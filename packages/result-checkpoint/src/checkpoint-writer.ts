import {RepeatingTask, type Clock} from '@hollowstack/clock';
import type {EventLogger} from '@hollowstack/logger';
import type {KeyValueStore} from '@hollowstack/store';
import type {OwnedResult, ResultOwner} from '@hollowstack/types';
import {encodeCheckpoint, getCheckpointKey} from './checkpoint.ts';

/** Dependencies of CheckpointWriter. */
export interface CheckpointWriterParts {
  readonly clock: Clock;
  readonly logger: EventLogger;
  /** Returns numbers from 0 to below 1. */
  readonly random: () => number;
  readonly store: Pick<KeyValueStore, 'runTransaction' | 'getHistoryId'>;
  /** Identity of this incarnation of the instance. */
  readonly self: ResultOwner;
  /** Lists the results that this instance tracks as the coordinator, oldest first. */
  readonly listStoredResults: () => readonly OwnedResult[];
}

/**
 * Milliseconds between two checkpoints. A result exists for about a second; during the first
 * half its call still runs and it has no handle. Each checkpoint costs a call to the store.
 */
const CHECKPOINT_INTERVAL_MS = 400;

/** Writes a checkpoint of the results that this instance tracks whenever they have changed. */
export class CheckpointWriter {
  private readonly parts: CheckpointWriterParts;
  private readonly task: RepeatingTask;
  private writtenText = encodeCheckpoint([]);
  /** History id of the store that contains `writtenText`. */
  private historyId = '';
  private hasFailed = false;

  constructor(parts: CheckpointWriterParts) {
    this.parts = parts;
    this.task = new RepeatingTask(parts.clock, parts.random, async () => {
      await this.writeChanges();
      return CHECKPOINT_INTERVAL_MS;
    });
  }

  /** Writes checkpoints until stopped, then resolves. */
  start(): Promise<void> {
    return this.task.start();
  }

  stop(): void {
    this.task.stop();
  }

  private async writeChanges(): Promise<void> {
    const {store, self, listStoredResults, logger} = this.parts;
    const text = encodeCheckpoint(listStoredResults());
    const historyId = store.getHistoryId();
    if (text === this.writtenText && historyId === this.historyId) return;
    try {
      await store.runTransaction({
        comparisons: [],
        onSuccess: [{type: 'put', key: getCheckpointKey(self), value: text}],
      });
      this.writtenText = text;
      this.historyId = historyId;
      this.hasFailed = false;
    } catch (error) {
      // The next round writes the results that exist by then.
      if (!this.hasFailed) {
        const reason = error instanceof Error ? error.message : String(error);
        logger.logEvent('results.checkpoint-failed', {reason});
      }
      this.hasFailed = true;
    }
  }
}
