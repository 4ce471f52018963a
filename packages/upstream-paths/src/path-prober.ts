import type {Clock} from '@hollowstack/clock';
import type {Connector} from '@hollowstack/transport';
import type {PathTable} from './path-table.ts';

/** Dependencies of PathProber. */
export interface PathProberParts {
  readonly clock: Clock;
  /** Returns numbers from 0 to below 1. */
  readonly random: () => number;
  readonly direct: Connector;
  readonly table: PathTable;
}

/** Milliseconds between two probes of an isolated instance. */
const PROBE_INTERVAL_MS = 250;
/** Milliseconds for a probe to connect. */
const PROBE_TIMEOUT_MS = 200;
/** Number of other upstreams that are tried, one after the other, before paths count as lost. */
const VERIFICATION_PROBES = 2;

/** Opens connections to find out whether this instance reaches upstreams directly. */
export class PathProber {
  private readonly parts: PathProberParts;
  private verification: Promise<boolean> | undefined;
  private isRunning = false;
  private isStopped = false;

  constructor(parts: PathProberParts) {
    this.parts = parts;
    parts.table.addIsolationListener(() => void this.pollUntilConnected());
  }

  /**
   * Returns whether this instance reaches an upstream other than the one at an address. True if
   * there is no other: then a failure to connect cannot be told from one of the path.
   */
  async hasOtherPath(address: string): Promise<boolean> {
    if (this.chooseAddresses(1, address).length === 0) return true;
    this.verification ??= this.checkPaths(address).finally(() => {
      this.verification = undefined;
    });
    return this.verification;
  }

  /** Stops probing. */
  stop(): void {
    this.isStopped = true;
  }

  private async checkPaths(address: string): Promise<boolean> {
    for (const other of this.chooseAddresses(VERIFICATION_PROBES, address)) {
      if (await this.checkAddress(other)) return true;
    }
    return false;
  }

  private async pollUntilConnected(): Promise<void> {
    const {clock, table} = this.parts;
    if (this.isRunning) return;
    this.isRunning = true;
    while (!this.isStopped && table.isIsolated()) {
      await Promise.all(
        this.chooseAddresses(1).map(address => this.checkAddress(address)),
      );
      if (!table.isIsolated()) break;
      await new Promise<void>(resolve =>
        clock.schedule(PROBE_INTERVAL_MS, resolve),
      );
    }
    this.isRunning = false;
  }

  private async checkAddress(address: string): Promise<boolean> {
    const {direct, table} = this.parts;
    try {
      const {stream} = await direct.connect({
        address,
        timeoutMs: PROBE_TIMEOUT_MS,
      });
      stream.destroy();
      table.recordConnected(address);
      return true;
    } catch {
      return false;
    }
  }

  // Upstreams whose paths are not known to be lost come first: a connection to one of them
  // ends a mistaken isolation at once.
  private chooseAddresses(count: number, except?: string): string[] {
    const {table, random} = this.parts;
    return table
      .listAddresses()
      .filter(address => address !== except)
      .map(address => ({
        address,
        rank: random() + (table.isLost(address) ? 1 : 0),
      }))
      .sort((left, right) => left.rank - right.rank)
      .slice(0, count)
      .map(({address}) => address);
  }
}
