import {changeRecordSchema, type ChangeRecord} from '@hollowstack/types';
import {Command} from 'clipanion';
import {z} from 'zod';
import {OperatorCommand} from '../../operator-command.ts';

const historySchema = z.object({changes: z.array(changeRecordSchema)});

/** `hollowstack config history`: lists published changes with author and time. */
export class ConfigHistoryCommand extends OperatorCommand {
  static override paths = [['config', 'history']];
  static override usage = Command.Usage({
    category: 'Configuration',
    description: 'list the published changes, the newest first',
    examples: [['See who changed what', 'hollowstack config history']],
  });

  protected async runCommand(): Promise<number> {
    const answer = await this.callInstance('GET', 'history');
    const {changes} = historySchema.parse(answer);
    if (this.json) this.print(JSON.stringify(changes, undefined, 2));
    else for (const change of changes) this.print(formatChange(change));
    return 0;
  }
}

function formatChange(change: ChangeRecord): string {
  const at = new Date(change.atMs).toISOString();
  const removed = change.removed.map(id => `-${id}`);
  const what = [...change.changed, ...removed].join(', ');
  return `${change.revision}  ${at}  ${change.author}  ${change.changeId}  ${what}`;
}
