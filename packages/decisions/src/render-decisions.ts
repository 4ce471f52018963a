import type {RequestDecisions} from './decision-log.ts';

/** Renders a request's decisions as readable text: a line each, with its inputs and setting indented below. */
export function renderDecisions(record: RequestDecisions): string {
  const {requestId, workspace, target, arrivedAtMs, decisions} = record;
  const arrived = new Date(arrivedAtMs).toISOString();
  const lines = [`${requestId}  ${workspace} / ${target}  arrived ${arrived}`];
  for (const decision of decisions) {
    const offsetMs = (decision.atMs - arrivedAtMs).toFixed(1).padStart(8);
    const {stage, rule, outcome, inputs, setting} = decision;
    lines.push(`${offsetMs} ms  ${stage.padEnd(10)} ${rule}: ${outcome}`);
    for (const input of inputs) lines.push(`${' '.repeat(25)}${input}`);
    if (setting) lines.push(`${' '.repeat(25)}to change it: ${setting}`);
  }
  return lines.join('\n');
}
