import type {Clock} from '@hollowstack/clock';
import {computeHash, computeNextToken} from './model-text.ts';

/** A request to generate one sequence. */
export interface SequenceRequest {
  readonly model: string;
  readonly prompt: string;
  readonly maxTokens: number;
  /** Lower values are admitted to the batch first. */
  readonly priority: number;
  /** Milliseconds of prefill for the part of the prompt that is not cached. */
  readonly prefillMs: number;
  readonly handleToken: (token: string) => void;
  readonly handleEnd: () => void;
  /** Called after each step with the engine time spent on this sequence, in milliseconds. */
  readonly handleBusyTime: (busyMs: number) => void;
}

interface Sequence {
  readonly request: SequenceRequest;
  readonly order: number;
  hash: number;
  emittedTokens: number;
  remainingPrefillMs: number;
}

/** Size of the batch, and how its steps slow down as it fills. */
export interface BatchOptions {
  /** Maximum number of sequences in the batch. */
  readonly maxRunning: number;
  /** Base milliseconds of a step. */
  readonly stepMs: number;
  /** Additional milliseconds of a step for each sequence in the batch. */
  readonly perSequenceMs: number;
}

/** Continuous batching: each step advances prefill or emits one token for every running sequence. */
export class Batch {
  private readonly clock: Clock;
  private readonly options: BatchOptions;
  private readonly getSlowFactor: () => number;
  private readonly running: Sequence[] = [];
  private readonly queued: Sequence[] = [];
  private nextOrder = 0;
  private isStepping = false;

  constructor(
    clock: Clock,
    options: BatchOptions,
    getSlowFactor: () => number,
  ) {
    this.clock = clock;
    this.options = options;
    this.getSlowFactor = getSlowFactor;
  }

  getRunningCount(): number {
    return this.running.length;
  }

  getQueuedCount(): number {
    return this.queued.length;
  }

  /** Returns the tokens per second of one sequence at the current batch size. */
  getTokensPerSecond(): number {
    return 1000 / this.computeStepMs();
  }

  /** Queues a sequence by priority, then arrival; the returned function cancels it. */
  addSequence(request: SequenceRequest): () => void {
    const sequence: Sequence = {
      request,
      order: this.nextOrder++,
      hash: computeHash(request.prompt, computeHash(request.model)),
      emittedTokens: 0,
      remainingPrefillMs: request.prefillMs,
    };
    this.queued.push(sequence);
    this.queued.sort(
      (left, right) =>
        left.request.priority - right.request.priority ||
        left.order - right.order,
    );
    this.admitQueued();
    this.startStepping();
    return () => this.removeSequence(sequence);
  }

  private admitQueued(): void {
    while (
      this.running.length < this.options.maxRunning &&
      this.queued.length > 0
    ) {
      this.running.push(this.queued.shift()!);
    }
  }

  private startStepping(): void {
    if (this.isStepping || this.running.length === 0) return;
    this.isStepping = true;
    const stepMs = this.computeStepMs();
    this.clock.schedule(stepMs, () => this.finishStep(stepMs));
  }

  private finishStep(stepMs: number): void {
    this.isStepping = false;
    const busyMsPerSequence = stepMs / Math.max(1, this.running.length);
    for (const sequence of [...this.running]) {
      sequence.request.handleBusyTime(busyMsPerSequence);
      this.advanceSequence(sequence, stepMs);
    }
    this.admitQueued();
    this.startStepping();
  }

  private advanceSequence(sequence: Sequence, stepMs: number): void {
    if (sequence.remainingPrefillMs > 0) {
      sequence.remainingPrefillMs -= stepMs / this.getSlowFactor();
      return;
    }
    const token = computeNextToken(sequence.hash);
    sequence.hash = computeHash(token, sequence.hash);
    sequence.emittedTokens += 1;
    sequence.request.handleToken(token);
    if (sequence.emittedTokens < sequence.request.maxTokens) return;
    this.removeSequence(sequence);
    sequence.request.handleEnd();
  }

  private removeSequence(sequence: Sequence): void {
    removeItem(this.running, sequence);
    removeItem(this.queued, sequence);
  }

  private computeStepMs(): number {
    const {stepMs, perSequenceMs} = this.options;
    const fullStepMs = stepMs + perSequenceMs * this.running.length;
    return fullStepMs * this.getSlowFactor();
  }
}

function removeItem<Item>(items: Item[], item: Item): void {
  const index = items.indexOf(item);
  if (index >= 0) items.splice(index, 1);
}
