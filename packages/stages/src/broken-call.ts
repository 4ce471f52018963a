import {createIsolation} from './isolation.ts';
import type {JobState, LocalBrokenCall} from './job-state.ts';

/**
 * Isolates the jobs of a broken call from all others before they are retried: one of them may
 * have crashed the upstream, and a retry of the same batch would crash the next one.
 *
 * @returns The jobs that must not be retried.
 */
export function splitBrokenCall(
  states: ReadonlySet<JobState>,
  call: LocalBrokenCall,
): JobState[] {
  const callId = `${call.upstream.id}/${call.sentAtMs}`;
  const isolation = createIsolation(callId, states.size);
  return [...states].filter(state => !state.recordBrokenCall(call, isolation));
}
