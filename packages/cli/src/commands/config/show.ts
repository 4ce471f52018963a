import {renderConfigurationToml} from '@hollowstack/config-log';
import {configurationSnapshotSchema} from '@hollowstack/types';
import {Command} from 'clipanion';
import {OperatorCommand} from '../../operator-command.ts';

/** `hollowstack config show`: prints the configuration in force. */
export class ConfigShowCommand extends OperatorCommand {
  static override paths = [['config', 'show']];
  static override usage = Command.Usage({
    category: 'Configuration',
    description: 'print the configuration in force as an editable file',
    details: `
      The file contains its baseRevision, from which publish detects changes
      that others have made in the meantime.
    `,
    examples: [['Edit it', 'hollowstack config show > pipelines.toml']],
  });

  protected async runCommand(): Promise<number> {
    const answer = await this.callInstance('GET', 'configuration');
    const {head, objects} = configurationSnapshotSchema.parse(answer);
    if (this.json) this.print(JSON.stringify({head, objects}, undefined, 2));
    else this.print(renderConfigurationToml(objects, head.revision));
    return 0;
  }
}
