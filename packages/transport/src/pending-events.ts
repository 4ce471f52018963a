import type {Clock} from '@hollowstack/clock';
import {setImmediate as waitForTurnEnd} from 'node:timers/promises';

/** Milliseconds from which on a turn of the event loop counts as long. */
const LONG_TURN_MS = 100;
/** Maximum number of turns that are waited for while all of them are long. */
const MAX_TURNS = 3;

/** End of the last turn in which a caller of `waitForPendingEvents` waited. */
let turnEndedAtMs = -Infinity;

/**
 * Resolves once the events that arrived before the call are handled. Those of one turn are handled
 * one after the other; after a long turn, which may have begun before the process stood still,
 * those that arrived meanwhile are read as well.
 */
export async function waitForPendingEvents(clock: Clock): Promise<void> {
  for (let turn = 0; turn < MAX_TURNS; turn++) {
    const beganAtMs = turnEndedAtMs;
    await waitForTurnEnd();
    turnEndedAtMs = clock.getNow();
    if (turnEndedAtMs - beganAtMs < LONG_TURN_MS) return;
  }
}
