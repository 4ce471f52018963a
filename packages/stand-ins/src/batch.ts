import type {Clock} from '@hollowstack/clock';
import {computeHash, computeNextToken} from './model-text.ts';

/** A sequence to be generated. */
export interface SequenceRequest {
  readonly model: string;
  readonly prompt: string;
  readonly maxTokens: number;
  /** 0 goes first. */
  readonly priority: number;
  /** Milliseconds of prefill that the cache does not save. */
  readonly prefillMs: number;
  readonly handleToken: (token: string) => void;
  readonly handleEnd: () => void;
  /** Told the engine time spent on this sequence in each step. */
  readonly handleBusy: (busyMs: number) => void;
}

interface Sequence {
  readonly request: SequenceRequest;
  readonly order: number;
  hash: number;
  emitted: number;
  prefillLeftMs: number;
}

/** How the batch slows as it fills. */
export interface BatchOptions {
  /** Sequences generated at the same time. */
  readonly maxRunning: number;
  /** Milliseconds a step takes with an empty batch. */
  readonly stepMs: number;
  /** Milliseconds more for each sequence in the batch. */
  readonly perSequenceMs: number;
}

/** Continuous batching: each step gives every running sequence one token. */
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

  /** Returns tokens a second that one sequence gets at the present batch. */
  getTokensPerSecond(): number {
    return 1000 / this.computeStepMs();
  }

  /** Adds a sequence; the returned function cancels it. */
  addSequence(request: SequenceRequest): () => void {
    const sequence: Sequence = {
      request,
      order: this.nextOrder++,
      hash: computeHash(request.prompt, computeHash(request.model)),
      emitted: 0,
      prefillLeftMs: request.prefillMs,
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
    const share = stepMs / Math.max(1, this.running.length);
    for (const sequence of [...this.running]) {
      sequence.request.handleBusy(share);
      this.advanceSequence(sequence, stepMs);
    }
    this.admitQueued();
    this.startStepping();
  }

  private advanceSequence(sequence: Sequence, stepMs: number): void {
    if (sequence.prefillLeftMs > 0) {
      sequence.prefillLeftMs -= stepMs / this.getSlowFactor();
      return;
    }
    const token = computeNextToken(sequence.hash);
    sequence.hash = computeHash(token, sequence.hash);
    sequence.emitted += 1;
    sequence.request.handleToken(token);
    if (sequence.emitted < sequence.request.maxTokens) return;
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
