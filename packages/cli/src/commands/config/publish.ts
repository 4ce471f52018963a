import {randomUUID} from 'node:crypto';
import {userInfo} from 'node:os';
import {
  parseConfigurationToml,
  type PublishResult,
} from '@hollowstack/config-log';
import {Command, Option} from 'clipanion';
import {OperatorCommand} from '../../operator-command.ts';
import {readTextFile} from '../../read-text-file.ts';

/** `hollowstack config publish`: adds, replaces and removes objects. */
export class ConfigPublishCommand extends OperatorCommand {
  static override paths = [['config', 'publish']];
  static override usage = Command.Usage({
    category: 'Configuration',
    description: 'publish the objects of a file',
    details: `
      Adds or replaces the objects of the file in one step; other objects stay.
      If another operator has changed one of them since the file's baseRevision,
      nothing is published and the error names the other change.

      If the answer is lost, repeat the command with --change-id and the printed
      change id: a change id is published at most once.
    `,
    examples: [
      ['Publish a file', 'hollowstack config publish pipelines.toml'],
      [
        'Remove an object',
        'hollowstack config publish pipelines.toml --remove pool/old-encoders',
      ],
    ],
  });

  file = Option.String();
  removals = Option.Array('--remove', [], {
    description: 'id of an object to remove, such as pool/encoders',
  });
  author = Option.String('--author', {
    description: 'name for the history; defaults to the login name',
  });
  changeId = Option.String('--change-id', {
    description: 'change id of an earlier attempt whose answer was lost',
  });

  protected async runCommand(): Promise<number> {
    const {objects, baseRevision} = parseConfigurationToml(
      readTextFile(this.file),
      this.file,
    );
    const changeId = this.changeId ?? randomUUID();
    if (!this.json) this.print(`change ${changeId}`);
    const published = (await this.callInstance('POST', 'configuration', {
      changeId,
      author: this.author ?? userInfo().username,
      baseRevision,
      objects,
      removals: this.removals,
    })) as PublishResult;
    if (this.json) this.print(JSON.stringify(published));
    else this.print(formatPublished(published));
    return 0;
  }
}

function formatPublished({revision, changed}: PublishResult): string {
  if (changed.length === 0) {
    return `no changes; revision ${revision} stays in force`;
  }
  return `revision ${revision}: ${changed.join(', ')}`;
}
