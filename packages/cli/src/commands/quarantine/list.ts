import type {PartVerdictReport, SuspectReport} from '@hollowstack/types';
import {Command} from 'clipanion';
import {formatTable} from '../../format-table.ts';
import {OperatorCommand} from '../../operator-command.ts';

interface Quarantined {
  readonly requests: readonly SuspectReport[];
  /** Absent from gateways of older versions. */
  readonly parts?: ReadonlyArray<PartVerdictReport & {key: string}>;
}

/** `hollowstack quarantine list`: lists what is refused because it crashes upstreams. */
export class QuarantineListCommand extends OperatorCommand {
  static override paths = [['quarantine', 'list'], ['quarantine']];
  static override usage = Command.Usage({
    description:
      'list the requests and prompt parts refused because they crash upstreams',
    details: `
      Any gateway answers at its metrics address. Requests are identified by the
      fingerprint of their content, as in the log events request.quarantined and
      upstream.crashed; prompt parts by the key in part.quarantined.
    `,
    examples: [
      ['Ask one gateway', 'hollowstack quarantine list --entry 10.0.0.7:9464'],
    ],
  });

  protected async runCommand(): Promise<number> {
    const quarantined = (await this.callInstance(
      'GET',
      'quarantine',
    )) as Quarantined;
    const {requests, parts = []} = quarantined;
    if (this.json) this.print(JSON.stringify({requests, parts}, undefined, 2));
    else this.print(`${formatRequests(requests)}\n${formatParts(parts)}`);
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

function formatParts(parts: Required<Quarantined>['parts']): string {
  if (parts.length === 0) return 'no prompt part is quarantined';
  return formatTable(
    ['key', 'service', 'one of these parts', 'last sent', 'crashed upstreams'],
    parts.map(({key, service, parts: ids, idleMs, upstreams}) => [
      key,
      service,
      ids.join(' '),
      `${Math.round(idleMs / 1000)} s ago`,
      upstreams.join(' '),
    ]),
  );
}
