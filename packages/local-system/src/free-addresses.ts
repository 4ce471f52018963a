import {createServer, type Server} from 'node:net';

const HOST = '127.0.0.1';
/**
 * Start of a port range below the operating system's ephemeral ports (32768 and up), so that
 * no outgoing connection occupies a port between its selection and a start or restart of the
 * process that listens there.
 */
const FIRST_PORT = 15_000;
const BLOCK_COUNT = 300;
/** Ports of a block; the first one is its guard. */
const BLOCK_PORTS = 50;

/**
 * Finds free ports in blocks that belong to one reserver each: it listens on the first port of
 * its blocks as long as its process runs. So processes that look for ports at the same time do
 * not find the same ones before anything listens on them.
 */
export class AddressReserver {
  private readonly guards: Server[] = [];
  private nextBlock: number;
  private nextPort = 0;
  private endPort = 0;

  /** @param firstBlock Number of the block that is tried first. */
  constructor(firstBlock: number) {
    this.nextBlock = firstBlock % BLOCK_COUNT;
  }

  /** Finds distinct loopback addresses that no process listens on. */
  async findAddresses(count: number): Promise<string[]> {
    const addresses: string[] = [];
    while (addresses.length < count) {
      if (this.nextPort >= this.endPort) await this.reserveBlock();
      const port = this.nextPort++;
      if (await isFreePort(port)) addresses.push(`${HOST}:${port}`);
    }
    return addresses;
  }

  /** Gives its blocks back. */
  close(): void {
    for (const guard of this.guards) guard.close();
  }

  private async reserveBlock(): Promise<void> {
    for (let tried = 0; tried < BLOCK_COUNT; tried++) {
      const guardPort = FIRST_PORT + this.nextBlock * BLOCK_PORTS;
      this.nextBlock = (this.nextBlock + 1) % BLOCK_COUNT;
      const guard = await listenOn(guardPort);
      if (!guard) continue;
      // The guard does not keep the process running.
      guard.unref();
      this.guards.push(guard);
      this.nextPort = guardPort + 1;
      this.endPort = guardPort + BLOCK_PORTS;
      return;
    }
    throw new Error('all ports for tests are reserved by other processes');
  }
}

const reserver = new AddressReserver(process.pid);

/** Finds distinct loopback addresses that no process listens on and no other one finds. */
export function findFreeAddresses(count: number): Promise<string[]> {
  return reserver.findAddresses(count);
}

async function isFreePort(port: number): Promise<boolean> {
  const server = await listenOn(port);
  if (!server) return false;
  await new Promise(resolve => server.close(resolve));
  return true;
}

// Resolves to undefined if the port is in use.
function listenOn(port: number): Promise<Server | undefined> {
  const server = createServer();
  return new Promise(resolve => {
    server.once('error', () => resolve(undefined));
    server.listen(port, HOST, () => resolve(server));
  });
}
