import type {InstanceStatus} from '@hollowstack/entry';
import {Command} from 'clipanion';
import {OperatorCommand} from '../../operator-command.ts';
import {formatTable} from '../../format-table.ts';

/** `hollowstack status`: shows one instance with its upstreams and latencies. */
export class StatusCommand extends OperatorCommand {
  static override paths = [['status']];
  static override usage = Command.Usage({
    description: 'show an instance, its upstreams and its latencies',
    examples: [
      ['Ask one instance', 'hollowstack status --entry 10.0.0.7:8080'],
    ],
  });

  protected async runCommand(): Promise<number> {
    const status = (await this.callInstance('GET', 'status')) as InstanceStatus;
    if (this.json) this.print(JSON.stringify(status, undefined, 2));
    else this.print(formatStatus(status));
    return 0;
  }
}

function formatStatus(status: InstanceStatus): string {
  const {instance, failureDomain, state, revision, inProgress, peers} = status;
  const store = status.isStoreDown ? 'does not answer' : 'answers';
  return [
    `${instance} in ${failureDomain}: ${state}, revision ${revision}, ${inProgress} in progress, ${peers.length} peers, platform's service ${store}`,
    '',
    formatTable(
      ['pool', 'limit', 'in service', 'upstream', 'state', 'own', 'slowness'],
      status.groups.flatMap(group =>
        group.upstreams.map(upstream => [
          group.name,
          String(group.limit),
          String(group.inService),
          upstream.id,
          upstream.state,
          String(upstream.ownInFlight),
          upstream.slowness.toFixed(2),
        ]),
      ),
    ),
    '',
    formatTable(
      [
        'workspace',
        'pipeline',
        'class',
        'answered',
        'p50 ms',
        'p95 ms',
        'p99 ms',
      ],
      status.latencies.map(row => [
        row.workspace,
        row.pipeline,
        row.class,
        String(row.count),
        row.p50Ms.toFixed(1),
        row.p95Ms.toFixed(1),
        row.p99Ms.toFixed(1),
      ]),
    ),
  ].join('\n');
}
