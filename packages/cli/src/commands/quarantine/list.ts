import type {SuspectReport} from '@hollowstack/types';
import {Command} from 'clipanion';
import {formatTable} from '../../format-table.ts';
import {OperatorCommand} from '../../operator-command.ts';

/** `hollowstack quarantine list`: lists the requests refused because they crash upstreams. */
export class QuarantineListCommand extends OperatorCommand {
  static override paths = [['quarantine', 'list'], ['quarantine']];
  static override usage = Command.Usage({
    description: 'list the requests refused because they crash upstreams',
    details: `
      Any gateway answers at its metrics address. Requests are identified by the
      fingerprint of their content, as in the log events request.quarantined and
      upstream.crashed.
    `,
    examples: [
      ['Ask one gateway', 'hollowstack quarantine list --entry 10.0.0.7:9464'],
    ],
  });

  protected async runCommand(): Promise<number> {
    const {requests} = (await this.callInstance('GET', 'quarantine')) as {
      requests: SuspectReport[];
    };
    if (this.json) this.print(JSON.stringify(requests, undefined, 2));
    else this.print(formatRequests(requests));
    return 0;
  }
}

function formatRequests(requests: readonly SuspectReport[]): string {
  if (requests.length === 0) return 'no request is quarantined';
  return formatTable(
    ['fingerprint', 'service', 'workspace', 'last sent', 'crashed upstreams'],
    requests.map(({fingerprint, service, workspace, idleMs, crashes}) => [
      fingerprint,
      service,
      workspace,
      `${Math.round(idleMs / 1000)} s ago`,
      crashes.map(({upstream}) => upstream).join(' '),
    ]),
  );
}
