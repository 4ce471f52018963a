import {createIsolation} from './isolation.ts';
import type {JobState, LocalBrokenCall} from './job-state.ts';

/**
 * Has the jobs of a call whose connection broke tried again apart: one of them may have
 * crashed the upstream, and together they would crash the next one.
 *
 * @returns The jobs that are not tried again.
 */
export function splitBrokenCall(
  states: ReadonlySet<JobState>,
  call: LocalBrokenCall,
): JobState[] {
  const callId = `${call.upstream.id}/${call.sentAtMs}`;
  const isolation = createIsolation(callId, states.size);
  return [...states].filter(state => !state.recordBrokenCall(call, isolation));
}
