import {randomUUID} from 'node:crypto';
import {userInfo} from 'node:os';
import type {PublishResult} from '@hollowstack/config-log';
import {Command, Option} from 'clipanion';
import {OperatorCommand} from '../../operator-command.ts';

/** `hollowstack config restore`: writes what is in force back to the service. */
export class ConfigRestoreCommand extends OperatorCommand {
  static override paths = [['config', 'restore']];
  static override usage = Command.Usage({
    category: 'Configuration',
    description:
      "write the configuration in force back to the platform's service",
    details: `
      For after the service was itself restored from an older backup. Instances
      keep the newer configuration in force; this writes it back as a new
      revision above both.
    `,
    examples: [['After a restore', 'hollowstack config restore']],
  });

  author = Option.String('--author', {
    description: 'name for the history; the login name where it is left out',
  });

  protected async runCommand(): Promise<number> {
    const published = (await this.callEntry('POST', 'restore', {
      changeId: randomUUID(),
      author: this.author ?? userInfo().username,
    })) as PublishResult;
    if (this.json) this.print(JSON.stringify(published));
    else this.print(`revision ${published.revision} is in force again`);
    return 0;
  }
}
