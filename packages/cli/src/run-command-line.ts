import {Builtins, Cli} from 'clipanion';
import {ConfigCheckCommand} from './commands/config/check.ts';
import {ConfigHistoryCommand} from './commands/config/history.ts';
import {ConfigPublishCommand} from './commands/config/publish.ts';
import {ConfigRestoreCommand} from './commands/config/restore.ts';
import {ConfigShowCommand} from './commands/config/show.ts';
import {DemoCommand} from './commands/demo/index.ts';
import {EntryCommand} from './commands/entry/index.ts';
import {GatewayCommand} from './commands/gateway/index.ts';
import {LimitsListCommand} from './commands/limits/index.ts';
import {LoadCommand} from './commands/load/index.ts';
import {
  QuarantineListCommand,
  QuarantineReleaseCommand,
} from './commands/quarantine/index.ts';
import {ReportCommand} from './commands/report/index.ts';
import {
  StandInEngineCommand,
  StandInPlatformCommand,
  StandInPoolCommand,
  StandInServiceCommand,
} from './commands/stand-in/index.ts';
import {StatusCommand} from './commands/status/index.ts';
import {WhyCommand} from './commands/why/index.ts';
import {VERSION} from './version.ts';

/** Runs one command line and resolves to its exit code. */
export function runCommandLine(args: readonly string[]): Promise<number> {
  const cli = new Cli({
    binaryName: 'hollowstack',
    binaryLabel: 'hollowstack: serves multi-stage model pipelines',
    binaryVersion: VERSION,
  });
  cli.register(Builtins.HelpCommand);
  cli.register(Builtins.VersionCommand);
  for (const command of [
    EntryCommand,
    GatewayCommand,
    ConfigCheckCommand,
    ConfigPublishCommand,
    ConfigShowCommand,
    ConfigHistoryCommand,
    ConfigRestoreCommand,
    WhyCommand,
    StatusCommand,
    LimitsListCommand,
    QuarantineListCommand,
    QuarantineReleaseCommand,
    ReportCommand,
    DemoCommand,
    LoadCommand,
    StandInPlatformCommand,
    StandInEngineCommand,
    StandInPoolCommand,
    StandInServiceCommand,
  ]) {
    cli.register(command);
  }
  return cli.run([...args]);
}
