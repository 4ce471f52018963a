import {createServer} from 'node:net';

const HOST = '127.0.0.1';
/**
 * Start of a port range below the operating system's ephemeral ports (32768 and up), so that
 * no outgoing connection occupies a port between its selection and a start or restart of the
 * process that listens there.
 */
const FIRST_PORT = 15_000;
const PORT_COUNT = 15_000;
/** Distance between the first ports tried by processes with consecutive process ids. */
const PORTS_PER_PROCESS = 97;

let nextOffset = (process.pid * PORTS_PER_PROCESS) % PORT_COUNT;

/** Finds distinct loopback addresses that no process listens on. */
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
