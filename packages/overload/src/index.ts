/** Measures how loaded a process is, and limits the work that it begins. */
export {LoadMeter, type LoadMeterParts, type LoadState} from './load-meter.ts';
export {
  TurnQueue,
  type PendingWork,
  type TurnQueueParts,
  type TurnQueueState,
  type WaitLimits,
} from './turn-queue.ts';
export {TrafficCounter, type CountedSocket} from './traffic-counter.ts';
