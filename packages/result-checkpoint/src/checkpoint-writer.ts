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
  /** This life of this instance. */
  readonly self: ResultOwner;
  /** Lists the results that this instance holds as a coordinator, the oldest first. */
  readonly listStoredResults: () => readonly OwnedResult[];
}

/**
 * Milliseconds between two checkpoints. Results are kept for about a second, half of it
 * in a call, when they have no handle yet; each checkpoint costs a call to the store.
 */
const CHECKPOINT_INTERVAL_MS = 400;

/** Writes the results that this instance holds to the store, for as long as it holds some. */
export class CheckpointWriter {
  private readonly parts: CheckpointWriterParts;
  private readonly task: RepeatingTask;
  private writtenText = encodeCheckpoint([]);
  /** Store history to which `written` applies. */
  private historyId = '';
  private hasFailed = false;

  constructor(parts: CheckpointWriterParts) {
    this.parts = parts;
    this.task = new RepeatingTask(parts.clock, parts.random, async () => {
      await this.writeChanges();
      return CHECKPOINT_INTERVAL_MS;
    });
  }

  /** Writes until stopped. */
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
      // The next round writes what is held by then.
      if (!this.hasFailed) {
        const reason = error instanceof Error ? error.message : String(error);
        logger.logEvent('results.checkpoint-failed', {reason});
      }
      this.hasFailed = true;
    }
  }
}
