import {randomUUID} from 'node:crypto';
import {userInfo} from 'node:os';
import type {PublishResult} from '@hollowstack/config-log';
import {Command, Option} from 'clipanion';
import {OperatorCommand} from '../../operator-command.ts';

/** `hollowstack config restore`: writes the configuration in force back to the service. */
export class ConfigRestoreCommand extends OperatorCommand {
  static override paths = [['config', 'restore']];
  static override usage = Command.Usage({
    category: 'Configuration',
    description:
      "write the configuration in force back to the platform's service",
    details: `
      Use this after the service was restored from an older backup. Instances
      keep the newer configuration in force; this command writes it back as a
      new revision, higher than the restored one and the one in force.
    `,
    examples: [['After a restore', 'hollowstack config restore']],
  });

  author = Option.String('--author', {
    description: 'name for the history; defaults to the login name',
  });

  protected async runCommand(): Promise<number> {
    const published = (await this.callInstance('POST', 'restore', {
      changeId: randomUUID(),
      author: this.author ?? userInfo().username,
    })) as PublishResult;
    if (this.json) this.print(JSON.stringify(published));
    else this.print(`revision ${published.revision} is in force again`);
    return 0;
  }
}
