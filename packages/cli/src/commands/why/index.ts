import {renderDecisions, type RequestDecisions} from '@hollowstack/decisions';
import {Command, Option} from 'clipanion';
import {OperatorCommand} from '../../operator-command.ts';

/** `hollowstack why`: shows the decisions about one request. */
export class WhyCommand extends OperatorCommand {
  static override paths = [['why']];
  static override usage = Command.Usage({
    description: 'show the decisions that were made about a request',
    details: `
      Any instance can be asked; it forwards the call to the one that served the
      request. The request id is in the header hollowstack-request-id of each
      answer.
    `,
    examples: [['Ask about a request', 'hollowstack why entry-1.mf3k2a.7']],
  });

  requestId = Option.String();

  protected async runCommand(): Promise<number> {
    const path = `why/${encodeURIComponent(this.requestId)}`;
    const record = (await this.callInstance('GET', path)) as RequestDecisions;
    if (this.json) this.print(JSON.stringify(record, undefined, 2));
    else this.print(renderDecisions(record));
    return 0;
  }
}
