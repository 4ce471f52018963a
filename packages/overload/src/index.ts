/** Measures how loaded a process is, and limits the work that it begins. */
export {LoadMeter, type LoadMeterParts, type LoadState} from './load-meter.ts';
export {TrafficCounter, type CountedSocket} from './traffic-counter.ts';
