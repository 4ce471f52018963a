import {renderConfigurationToml} from '@hollowstack/config-log';
import {configurationSnapshotSchema} from '@hollowstack/types';
import {Command} from 'clipanion';
import {OperatorCommand} from '../../operator-command.ts';

/** `hollowstack config show`: the configuration in force. */
export class ConfigShowCommand extends OperatorCommand {
  static override paths = [['config', 'show']];
  static override usage = Command.Usage({
    category: 'Configuration',
    description: 'print the configuration in force as a file to edit',
    details: `
      The file carries its baseRevision, by which publish notices what others
      have changed meanwhile.
    `,
    examples: [['Edit it', 'hollowstack config show > pipelines.toml']],
  });

  protected async runCommand(): Promise<number> {
    const answer = await this.callEntry('GET', 'configuration');
    const {head, objects} = configurationSnapshotSchema.parse(answer);
    if (this.json) this.print(JSON.stringify({head, objects}, undefined, 2));
    else this.print(renderConfigurationToml(objects, head.revision));
    return 0;
  }
}
