import type {Clock} from '@hollowstack/clock';
import {setImmediate as waitForTurnEnd} from 'node:timers/promises';

/** Milliseconds from which on a turn of the event loop counts as long. */
const LONG_TURN_MS = 100;
/** Maximum number of turns that are waited for while all of them are long. */
const MAX_TURNS = 3;

/** End of the last turn in which `waitForPendingEvents` was called. */
let turnEndedAtMs = -Infinity;
let isTurnWatched = false;

/**
 * Resolves once the events that arrived long before the call are handled. Those of one turn are
 * handled one after the other; after a long turn, which may have begun before the process stood
 * still, those that arrived meanwhile are read as well. Resolves at once if the turn is short.
 */
export async function waitForPendingEvents(clock: Clock): Promise<void> {
  watchTurn(clock);
  let beganAtMs = turnEndedAtMs;
  for (let turn = 0; turn < MAX_TURNS; turn++) {
    if (clock.getNow() - beganAtMs < LONG_TURN_MS) return;
    beganAtMs = turnEndedAtMs;
    await waitForTurnEnd();
    turnEndedAtMs = clock.getNow();
  }
}

function watchTurn(clock: Clock): void {
  if (isTurnWatched) return;
  isTurnWatched = true;
  setImmediate(() => {
    isTurnWatched = false;
    turnEndedAtMs = clock.getNow();
  });
}
