import type {Connector} from './connector.ts';
import {isConnectionRefused} from './single-call.ts';

/** Outcome of an attempt to connect. */
export type ConnectionState = 'accepted' | 'refused' | 'unanswered';

/** Time for a connection to be established; some hundred round trips within a region. */
const CONNECT_TIMEOUT_MS = 400;

/** Opens a connection and closes it without sending a byte; never rejects. */
export async function checkConnection(
  address: string,
  connector: Connector,
): Promise<ConnectionState> {
  try {
    const {stream} = await connector.connect({
      address,
      timeoutMs: CONNECT_TIMEOUT_MS,
    });
    stream.destroy();
    return 'accepted';
  } catch (error) {
    return isConnectionRefused(error) ? 'refused' : 'unanswered';
  }
}
