import type {LimitReport} from '@hollowstack/types';
import {Command} from 'clipanion';
import {formatTable} from '../../format-table.ts';
import {OperatorCommand} from '../../operator-command.ts';

/** `hollowstack limits list`: lists the rate limits that upstreams advertise. */
export class LimitsListCommand extends OperatorCommand {
  static override paths = [['limits', 'list'], ['limits']];
  static override usage = Command.Usage({
    description: 'list the rate limits that upstreams advertise',
    details: `
      Any gateway answers at its metrics address. Each limit applies to the total
      rate of all gateways.
    `,
    examples: [
      ['Ask one gateway', 'hollowstack limits list --entry 10.0.0.7:9464'],
    ],
  });

  protected async runCommand(): Promise<number> {
    const {limits} = (await this.callInstance('GET', 'limits')) as {
      limits: LimitReport[];
    };
    if (this.json) this.print(JSON.stringify(limits, undefined, 2));
    else this.print(formatLimits(limits));
    return 0;
  }
}

function formatLimits(limits: readonly LimitReport[]): string {
  if (limits.length === 0) return 'no upstream advertises a limit';
  return formatTable(
    ['upstream', 'service', 'requests per second', 'last advertised'],
    limits.map(({upstream, service, perSecond, ageMs}) => [
      upstream,
      service,
      String(perSecond),
      `${(ageMs / 1000).toFixed(1)} s ago`,
    ]),
  );
}
