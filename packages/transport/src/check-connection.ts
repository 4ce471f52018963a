import {scheduleTimeout, type Clock} from '@hollowstack/clock';
import {splitAddress} from '@hollowstack/types';
import {connect} from 'node:net';

/** Outcome of an attempt to connect. */
export type ConnectionState = 'accepted' | 'refused' | 'unanswered';

/** Time for a connection to be established; some hundred round trips within a region. */
const CONNECT_TIMEOUT_MS = 400;

/** Opens a connection and closes it without sending a byte; never rejects. */
export function checkConnection(
  address: string,
  clock: Clock,
): Promise<ConnectionState> {
  const {host, port} = splitAddress(address);
  const socket = connect({host, port});
  return new Promise(resolve => {
    const settle = (result: ConnectionState) => {
      timer.cancel();
      socket.destroy();
      resolve(result);
    };
    const timer = scheduleTimeout(clock, CONNECT_TIMEOUT_MS, () =>
      settle('unanswered'),
    );
    socket.once('connect', () => settle('accepted'));
    socket.on('error', ({code}: NodeJS.ErrnoException) =>
      settle(code === 'ECONNREFUSED' ? 'refused' : 'unanswered'),
    );
  });
}
