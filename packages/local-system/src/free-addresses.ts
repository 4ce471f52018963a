import {createServer} from 'node:net';

const HOST = '127.0.0.1';
/**
 * Ports below those that the system gives to outgoing connections (from 32768 on),
 * so that none of these takes one while its process starts, or starts again.
 */
const FIRST_PORT = 15_000;
const PORT_COUNT = 15_000;
/** Ports between the first ones of processes that were started one after the other. */
const PORTS_PER_PROCESS = 97;

let nextOffset = (process.pid * PORTS_PER_PROCESS) % PORT_COUNT;

/** Finds addresses on loopback that nobody listens at, each of them once. */
export async function findFreeAddresses(count: number): Promise<string[]> {
  const addresses: string[] = [];
  while (addresses.length < count) {
    const port = FIRST_PORT + nextOffset;
    nextOffset = (nextOffset + 1) % PORT_COUNT;
    if (await isFreePort(port)) addresses.push(`${HOST}:${port}`);
  }
  return addresses;
}

function isFreePort(port: number): Promise<boolean> {
  const server = createServer();
  return new Promise(resolve => {
    server.once('error', () => resolve(false));
    server.listen(port, HOST, () => server.close(() => resolve(true)));
  });
}
