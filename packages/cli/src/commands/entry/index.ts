import {SystemClock} from '@hollowstack/clock';
import {
  createDaemon,
  removeSecrets,
  parseSettings,
  type Daemon,
  type Settings,
} from '@hollowstack/entry';
import {TslogEventLogger} from '@hollowstack/logger';
import {TcpPeerNetwork} from '@hollowstack/peers';
import {NodeHttpClient, NodeHttpServer} from '@hollowstack/transport';
import {splitAddress} from '@hollowstack/types';
import {Command, Option} from 'clipanion';
import {stringify} from 'smol-toml';
import {toListenError} from '../../listen-error.ts';
import {readTextFile} from '../../read-text-file.ts';
import {recordSuspensions} from '../../record-suspensions.ts';
import {ReportingCommand} from '../../reporting-command.ts';

/** `hollowstack entry`: runs the daemon of an entry instance. */
export class EntryCommand extends ReportingCommand {
  static override paths = [['entry']];
  static override usage = Command.Usage({
    description: 'run one instance',
    details: `
      Serves callers, operators and probes until SIGTERM or SIGINT, then drains
      its requests and stops. SIGHUP reloads the peer keys from the settings
      file.
    `,
    examples: [
      ['Run an instance', 'hollowstack entry --settings entry.toml'],
      [
        'Show the settings it would run with',
        'hollowstack entry --settings entry.toml --check',
      ],
    ],
  });

  settingsPath = Option.String('--settings', {
    required: true,
    description: 'settings file in TOML',
  });
  check = Option.Boolean('--check', false, {
    description: 'print the settings in effect and exit',
  });

  protected async runCommand(): Promise<number> {
    const settings = this.readSettings();
    if (this.check) {
      this.print(stringify(removeSecrets(settings)));
      return 0;
    }
    return this.runDaemon(settings);
  }

  private readSettings(): Settings {
    return parseSettings(readTextFile(this.settingsPath), this.settingsPath);
  }

  private async runDaemon(settings: Settings): Promise<number> {
    const {instance, listen, limits, log} = settings;
    const client = new NodeHttpClient();
    const clock = new SystemClock();
    const logger = new TslogEventLogger(instance.id, log.level, log.format);
    recordSuspensions(clock, logger);
    const daemon = createDaemon(settings, {
      clock,
      client,
      peerNetwork: new TcpPeerNetwork(),
      logger,
      random: Math.random,
    });
    const server = new NodeHttpServer(
      request => daemon.handle(request),
      limits,
    );
    const {link} = daemon.parts;
    const {host, port} = splitAddress(listen.address);
    try {
      await link.listen(listen.peerAddress);
      await server.listen(host, port);
    } catch (error) {
      // Listeners that are already open would keep an unusable process alive.
      link.close();
      client.close();
      throw toListenError(error);
    }
    const stopRequested = this.waitForStop(daemon);
    void daemon.start();
    await stopRequested;
    const isClean = await daemon.drain();
    await server.close();
    client.close();
    return isClean ? 0 : 1;
  }

  private waitForStop(daemon: Daemon): Promise<void> {
    process.on('SIGHUP', () => this.refreshKeys(daemon));
    return new Promise(resolve => {
      // Never removed: a second signal must not interrupt the drain.
      process.on('SIGTERM', () => resolve());
      process.on('SIGINT', () => resolve());
    });
  }

  private refreshKeys(daemon: Daemon): void {
    try {
      daemon.parts.keys.setKeys(this.readSettings().peers.keys);
    } catch (error) {
      // An unreadable file must not stop a running instance.
      const reason = error instanceof Error ? error.message : String(error);
      daemon.parts.environment.logger.logEvent('entry.keys-unreadable', {
        reason,
      });
    }
  }
}
