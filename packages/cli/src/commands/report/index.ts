import {HollowstackError} from '@hollowstack/errors';
import {assembleReport, parseLog, renderReport} from '@hollowstack/log-report';
import {Command, Option} from 'clipanion';
import {readTextFile} from '../../read-text-file.ts';
import {ReportingCommand} from '../../reporting-command.ts';

const DEFAULT_WINDOW_SECONDS = '2';

/** `hollowstack report`: summarizes the outcomes of the requests in a log. */
export class ReportCommand extends ReportingCommand {
  static override paths = [['report']];
  static override usage = Command.Usage({
    description: 'summarize the logs of gateways in tables',
    details: `
      Reads the JSON lines that one or several gateways wrote and shows, by route
      and time, how many requests were in time, late, refused or failed, for which
      reasons, and how busy the stage services were.
    `,
    examples: [['Report on a log', 'hollowstack report gateway.log']],
  });

  logPath = Option.String();
  window = Option.String('--window', DEFAULT_WINDOW_SECONDS, {
    description: 'seconds that one row covers',
  });

  protected async runCommand(): Promise<number> {
    const windowSeconds = Number(this.window);
    if (!(windowSeconds > 0)) {
      throw new HollowstackError(
        'bad-request',
        `--window: write a number of seconds above 0, not ${this.window}`,
      );
    }
    const log = parseLog(readTextFile(this.logPath), this.logPath);
    this.print(renderReport(assembleReport(log, windowSeconds)));
    return 0;
  }
}
