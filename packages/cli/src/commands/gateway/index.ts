import {SystemClock} from '@hollowstack/clock';
import {
  createGateway,
  parseGatewaySettings,
  type GatewaySettings,
} from '@hollowstack/gateway';
import {
  BoundedEventLogger,
  DEFAULT_LOG_LIMITS,
  TslogEventLogger,
} from '@hollowstack/logger';
import {MetricsRegistry} from '@hollowstack/metrics';
import {TcpPeerNetwork} from '@hollowstack/peers';
import {
  PlatformEngines,
  PlatformRequests,
  PlatformSignals,
  PlatformStages,
  PlatformStore,
} from '@hollowstack/platform';
import {DirectConnector, NodeHttpClient} from '@hollowstack/transport';
import {TcpTunnelNetwork} from '@hollowstack/upstream-paths';
import {Command, Option} from 'clipanion';
import {stringify} from 'smol-toml';
import {formatOpenResources} from '../../end-process.ts';
import {toListenError} from '../../listen-error.ts';
import {readTextFile} from '../../read-text-file.ts';
import {recordSuspensions} from '../../record-suspensions.ts';
import {ReportingCommand} from '../../reporting-command.ts';

/** `hollowstack gateway`: runs the daemon of routed services. */
export class GatewayCommand extends ReportingCommand {
  static override paths = [['gateway']];
  static override usage = Command.Usage({
    description: 'run one instance that serves routed services',
    details: `
      Follows the routes, keys and upstreams in the platform's store and serves
      requests until SIGTERM or SIGINT, then drains them and stops.
    `,
    examples: [
      ['Run an instance', 'hollowstack gateway --settings gateway.toml'],
      [
        'Show the settings it would run with',
        'hollowstack gateway --settings gateway.toml --check',
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
      const keys = settings.peers.keys.map(({id}) => ({
        id,
        secret: '(hidden)',
      }));
      const peers = {...settings.peers, keys};
      const operators = {keys: settings.operators.keys.map(() => '(hidden)')};
      this.print(stringify({...settings, peers, operators}));
      return 0;
    }
    return this.runGateway(settings);
  }

  private readSettings(): GatewaySettings {
    const text = readTextFile(this.settingsPath);
    return parseGatewaySettings(text, this.settingsPath);
  }

  private async runGateway(settings: GatewaySettings): Promise<number> {
    const {instance, log, store} = settings;
    const clock = new SystemClock();
    const client = new NodeHttpClient();
    const logger = new BoundedEventLogger(
      new TslogEventLogger(instance.id, log.level, log.format),
      () => clock.getNow(),
      DEFAULT_LOG_LIMITS,
      () => process.stdout.writableLength,
    );
    const metrics = new MetricsRegistry();
    recordSuspensions(clock, logger, metrics);
    const gateway = createGateway(settings, {
      clock,
      logger,
      metrics,
      random: Math.random,
      peerNetwork: new TcpPeerNetwork(),
      upstreamConnector: new DirectConnector(clock),
      tunnelNetwork: new TcpTunnelNetwork(),
      store: new PlatformStore({client, clock, logger, metrics}, store),
      requestProtocol: new PlatformRequests(),
      stageProtocol: new PlatformStages(),
      engineProtocol: new PlatformEngines(),
      signalProtocol: new PlatformSignals(),
    });
    const stopRequested = new Promise<void>(resolve => {
      // Never removed: a second signal must not interrupt the drain.
      process.on('SIGTERM', () => resolve());
      process.on('SIGINT', () => resolve());
    });
    // No setting can be reloaded, but the signal must not end the process, as it
    // would by default.
    process.on('SIGHUP', () => {});
    try {
      // start() waits for the store; a stop must also work while it is unavailable.
      await Promise.race([gateway.start(), stopRequested]);
    } catch (error) {
      // Listeners that are already open would keep an unusable process alive.
      gateway.stop();
      client.close();
      throw toListenError(error);
    }
    await stopRequested;
    await gateway.drain();
    client.close();
    logger.logEvent('entry.ending', {open: formatOpenResources()});
    return 0;
  }
}
