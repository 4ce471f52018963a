import {Command, Option} from 'clipanion';
import {OperatorCommand} from '../../operator-command.ts';

/** `hollowstack quarantine release`: releases a request or prompt parts from quarantine. */
export class QuarantineReleaseCommand extends OperatorCommand {
  static override paths = [['quarantine', 'release']];
  static override usage = Command.Usage({
    description:
      'serve a quarantined request or prompt part again, on all gateways',
    details: `
      Any gateway accepts the release at its metrics address and notifies the
      others. What still crashes upstreams is quarantined again after three crashes.
    `,
    examples: [
      [
        'Release a request',
        'hollowstack quarantine release 4f23e6e3158931ae95e271bfc3b0656d --entry 10.0.0.7:9464',
      ],
    ],
  });

  fingerprint = Option.String();

  protected async runCommand(): Promise<number> {
    const path = `quarantine/${encodeURIComponent(this.fingerprint)}`;
    await this.callInstance('DELETE', path);
    this.print(`${this.fingerprint} is served again`);
    return 0;
  }
}
