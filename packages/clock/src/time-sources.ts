import {uptime} from 'node:os';

/** The clocks of a machine, each in milliseconds since its own origin. */
export interface TimeSources {
  /** Wall clock; may be set forwards or backwards. */
  getWallMs(): number;
  /** Monotonic clock; stops while the machine is suspended. */
  getSteadyMs(): number;
  /**
   * Boot-time clock; runs on while the machine is suspended. Its resolution is 10 ms, and a call
   * takes some microseconds.
   */
  getBootMs(): number;
}

/** The clocks of this machine. */
export const SYSTEM_TIME_SOURCES: TimeSources = {
  getWallMs: () => Date.now(),
  getSteadyMs: () => performance.now(),
  getBootMs: () => uptime() * 1000,
};
