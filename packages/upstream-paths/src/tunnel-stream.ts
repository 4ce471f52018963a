import {addCloseHandler} from '@hollowstack/cancellation';
import {FrameDecoder, MAX_FRAME_BYTES} from '@hollowstack/peers';
import {Duplex} from 'node:stream';
import type {Socket} from 'node:net';

/**
 * Creates the requester's side of a tunnel. Bytes from the upstream arrive in frames, and an
 * empty frame marks their end: without it, an answer whose end is that of its connection would
 * look complete after the peer was killed.
 */
export function createTunnelStream(socket: Socket): Duplex {
  const decoder = new FrameDecoder(MAX_FRAME_BYTES);
  let hasEnded = false;
  const stream = new Duplex({
    allowHalfOpen: false,
    read: () => {
      socket.resume();
    },
    write: (chunk: Buffer, _encoding, callback) => {
      socket.write(chunk, callback);
    },
  });
  // The reader of the stream handles 'close', which follows every error.
  stream.on('error', () => {});
  addCloseHandler(stream, () => socket.destroy());
  const handlePayload = (payload: Buffer) => {
    if (hasEnded) return;
    if (payload.length > 0) {
      if (!stream.push(payload)) socket.pause();
      return;
    }
    hasEnded = true;
    stream.push(null);
  };
  socket.on('data', (bytes: Buffer) => {
    try {
      decoder.addBytes(bytes);
      let payload: Buffer | undefined;
      while ((payload = decoder.takePayload())) handlePayload(payload);
    } catch (error) {
      stream.destroy(error as Error);
    }
  });
  socket.on('error', error => stream.destroy(error));
  addCloseHandler(socket, () => {
    if (!hasEnded) stream.destroy(createLostError());
  });
  return stream;
}

function createLostError(): Error {
  return Object.assign(new Error('the tunnel closed early'), {
    code: 'ECONNRESET',
  });
}
