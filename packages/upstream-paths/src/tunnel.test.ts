import assert from 'node:assert/strict';
import {once} from 'node:events';
import {
  createServer,
  type AddressInfo,
  type Server,
  type Socket,
} from 'node:net';
import type {Duplex} from 'node:stream';
import {afterEach, beforeEach, test} from 'node:test';
import {setTimeout as waitMs} from 'node:timers/promises';
import {SystemClock} from '@hollowstack/clock';
import {MetricsRegistry} from '@hollowstack/metrics';
import type {PeerRequest} from '@hollowstack/peers';
import type {RegisteredUpstream} from '@hollowstack/routes';
import {DirectConnector} from '@hollowstack/transport';
import {PathProber} from './path-prober.ts';
import {PathTable} from './path-table.ts';
import {RecordingLogger} from './test-utils/recording-logger.ts';
import {TunnelClient} from './tunnel-client.ts';
import {TcpTunnelNetwork} from './tunnel-network.ts';
import {TunnelPeers} from './tunnel-peers.ts';
import {TunnelServer} from './tunnel-server.ts';

const PEER = {id: 'peer', address: 'peer:1', failureDomain: 'a'};
/** Much more than the buffers of the sockets hold. */
const LARGE_BYTES = 64 * 1024 * 1024;
const MAX_BUFFERED_BYTES = 24 * 1024 * 1024;

let servers: Server[];
let tunnelServer: TunnelServer;
let client: TunnelClient;

beforeEach(async () => {
  servers = [];
  const clock = new SystemClock();
  const logger = new RecordingLogger();
  const metrics = new MetricsRegistry();
  const direct = new DirectConnector(clock);
  const table = new PathTable({clock, logger, metrics});
  const prober = new PathProber({clock, random: Math.random, direct, table});
  const network = new TcpTunnelNetwork();
  const parts = {clock, logger, metrics, network, direct, table, prober};
  tunnelServer = new TunnelServer(parts);
  await tunnelServer.listen('127.0.0.1:0');
  client = new TunnelClient({
    clock,
    network: new TcpTunnelNetwork(),
    link: {
      sendRequest: async (_address, request) =>
        tunnelServer.openTunnel(
          request as Extract<PeerRequest, {type: 'open-tunnel'}>,
          'requester',
        ),
    },
    peers: new TunnelPeers({
      clock,
      random: Math.random,
      failureDomain: 'a',
      listPeers: () => [PEER],
    }),
  });
  setAddresses = addresses => {
    const upstreams = addresses.map(createUpstream);
    table.setUpstreams(upstreams);
    tunnelServer.setUpstreams(upstreams);
  };
});

afterEach(() => {
  tunnelServer.close();
  for (const server of servers) server.close();
});

let setAddresses: (addresses: readonly string[]) => void;

function createUpstream(address: string): RegisteredUpstream {
  return {
    id: address,
    service: 's',
    address,
    failureDomain: 'a',
    capacity: 1,
    isLeaving: false,
  } as RegisteredUpstream;
}

async function startUpstream(
  handleSocket: (socket: Socket) => void,
): Promise<string> {
  const server = createServer(handleSocket);
  servers.push(server);
  await new Promise<void>(resolve =>
    server.listen(0, '127.0.0.1', () => resolve()),
  );
  return `127.0.0.1:${(server.address() as AddressInfo).port}`;
}

async function openTunnel(address: string): Promise<Duplex> {
  const outcome = await client.openTunnel({address, timeoutMs: 400});
  assert.equal(outcome.type, 'connected');
  return outcome.type === 'connected'
    ? outcome.connection.stream
    : assert.fail();
}

async function readAll(stream: Duplex): Promise<string> {
  let text = '';
  for await (const bytes of stream) text += bytes;
  return text;
}

test('bytes pass through a tunnel both ways until the upstream ends', async () => {
  const address = await startUpstream(socket =>
    socket.once('data', bytes => socket.end(`answer to ${bytes}`)),
  );
  setAddresses([address]);
  const stream = await openTunnel(address);
  stream.write('question');
  assert.equal(await readAll(stream), 'answer to question');
});

test('an answer that ends with its connection is not complete if the peer is killed', async () => {
  const address = await startUpstream(socket => {
    socket.on('error', () => {});
    socket.write('first half');
  });
  setAddresses([address]);
  const stream = await openTunnel(address);
  await once(stream, 'readable');
  const text = readAll(stream);
  tunnelServer.close();
  await assert.rejects(text, {code: 'ECONNRESET'});
});

test('an upstream that resets its connection does not look like one that ends it', async () => {
  const address = await startUpstream(socket => {
    socket.write('first half');
    setTimeout(() => socket.resetAndDestroy(), 20);
  });
  setAddresses([address]);
  await assert.rejects(readAll(await openTunnel(address)), {
    code: 'ECONNRESET',
  });
});

test('the end of a call reaches the upstream through a tunnel', async () => {
  let closed: Promise<unknown> | undefined;
  const address = await startUpstream(socket => {
    socket.on('error', () => {});
    socket.resume();
    closed = once(socket, 'close');
  });
  setAddresses([address]);
  const stream = await openTunnel(address);
  await waitMs(20);
  stream.destroy();
  await closed;
  await waitMs(20);
  assert.equal(tunnelServer.countTunnels(), 0);
});

test('a slow reader slows the upstream down instead of filling the peer', async () => {
  let written = 0;
  const address = await startUpstream(socket => {
    socket.on('error', () => {});
    const chunk = Buffer.alloc(256 * 1024);
    const writeChunks = () => {
      while (written < LARGE_BYTES) {
        written += chunk.length;
        if (!socket.write(chunk)) return;
      }
    };
    socket.on('drain', writeChunks);
    writeChunks();
  });
  setAddresses([address]);
  const stream = await openTunnel(address);
  await waitMs(300);
  assert.ok(written < MAX_BUFFERED_BYTES, `${written} bytes were accepted`);
  stream.destroy();
});

test('a peer answers for an upstream that refuses it only if it reaches another one', async () => {
  const closed = '127.0.0.1:1';
  setAddresses([closed, '127.0.0.1:2', '127.0.0.1:3']);
  const isolated = await tunnelServer.openTunnel(
    {address: closed, timeoutMs: 200},
    'requester',
  );
  assert.deepEqual(isolated, {type: 'tunnel-failed', reason: 'no-path'});
  const other = await startUpstream(socket => socket.destroy());
  setAddresses([closed, other]);
  const connected = await tunnelServer.openTunnel(
    {address: closed, timeoutMs: 200},
    'requester',
  );
  assert.deepEqual(connected, {type: 'tunnel-failed', reason: 'refused'});
});

test('a peer opens no tunnel to an address at which no upstream accepts work', async () => {
  const address = await startUpstream(socket => socket.destroy());
  setAddresses([]);
  const reply = await tunnelServer.openTunnel(
    {address, timeoutMs: 200},
    'requester',
  );
  assert.deepEqual(reply, {type: 'tunnel-failed', reason: 'not-accepting'});
});

test('a tunnel whose upstream has closed before it is claimed ends at once', async () => {
  const address = await startUpstream(socket => {
    setTimeout(() => socket.resetAndDestroy(), 20);
  });
  setAddresses([address]);
  const reply = await tunnelServer.openTunnel(
    {address, timeoutMs: 400},
    'requester',
  );
  assert.equal(reply.type, 'tunnel');
  if (reply.type !== 'tunnel') return;
  await waitMs(50);
  const socket = new TcpTunnelNetwork().connect(reply.address);
  socket.on('error', () => {});
  socket.write(Buffer.from(reply.token, 'hex'));
  const isClosed = once(socket, 'close').then(() => true);
  assert.equal(await Promise.race([isClosed, waitMs(300, false)]), true);
  assert.equal(tunnelServer.countTunnels(), 0);
});
