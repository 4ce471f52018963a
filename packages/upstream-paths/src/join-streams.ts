import {addCloseHandler} from '@hollowstack/cancellation';
import {encodeFrame} from '@hollowstack/peers';
import type {Socket} from 'node:net';
import type {Duplex} from 'node:stream';

const END_FRAME = encodeFrame(new Uint8Array(0));

/**
 * Forwards the bytes of a tunnel to an upstream, and the upstream's bytes in frames. Each side
 * is read only as fast as the other one accepts bytes, and the end of one ends the other.
 */
export function joinStreams(tunnel: Socket, upstream: Duplex): void {
  let hasEnded = false;
  upstream.on('data', (bytes: Buffer) => {
    if (!tunnel.write(encodeFrame(bytes))) upstream.pause();
  });
  tunnel.on('drain', () => upstream.resume());
  upstream.on('end', () => {
    hasEnded = true;
    tunnel.end(END_FRAME);
  });
  addCloseHandler(upstream, () => {
    if (!hasEnded) tunnel.destroy();
  });
  tunnel.on('data', (bytes: Buffer) => {
    if (!upstream.write(bytes)) tunnel.pause();
  });
  upstream.on('drain', () => tunnel.resume());
  addCloseHandler(tunnel, () => upstream.destroy());
}
