import {
  checkConfiguration,
  parseConfigurationToml,
} from '@hollowstack/config-log';
import {Command, Option} from 'clipanion';
import {readTextFile} from '../../read-text-file.ts';
import {ReportingCommand} from '../../reporting-command.ts';

/** `hollowstack config check`: checks a configuration file without an instance. */
export class ConfigCheckCommand extends ReportingCommand {
  static override paths = [['config', 'check']];
  static override usage = Command.Usage({
    category: 'Configuration',
    description: 'check a configuration file',
    details: `
      Checks the file on its own, without an instance: a name that exists only
      in the published configuration counts as missing. The exit code is 0 if
      the file is consistent, 1 if it is not, and 2 if it cannot be parsed.
    `,
    examples: [['Check a file', 'hollowstack config check pipelines.toml']],
  });

  file = Option.String();
  json = Option.Boolean('--json', false, {
    description: 'print the findings as JSON',
  });

  protected async runCommand(): Promise<number> {
    const {objects} = parseConfigurationToml(
      readTextFile(this.file),
      this.file,
    );
    const findings = checkConfiguration(objects);
    if (this.json) this.print(JSON.stringify({findings}, undefined, 2));
    else if (findings.length === 0) {
      this.print(`${this.file}: ${objects.length} objects are consistent`);
    }
    if (!this.json) {
      for (const {place, message, advice} of findings) {
        this.print(`${this.file}: ${place}: ${message}; ${advice}`);
      }
    }
    return findings.length === 0 ? 0 : 1;
  }
}
