import type {Clock} from '@hollowstack/clock';
import type {PeerNetwork} from '@hollowstack/peers';
import type {HttpClient, HttpHandler} from '@hollowstack/transport';

/** The clock and network access of one process. */
export interface ProcessEnvironment {
  readonly clock: Clock;
  readonly client: HttpClient;
  readonly peerNetwork: PeerNetwork;
}

/** Connects the processes of a local system. */
export abstract class SystemNetwork {
  /** Creates the clock and network access of the process with the given name. */
  abstract createEnvironment(name: string): ProcessEnvironment;

  /** Chooses a free address for a process without listening on it. */
  abstract reserveAddress(): Promise<string>;

  /** Serves requests at an address by a handler that runs in the named process. */
  abstract serve(
    name: string,
    address: string,
    handler: HttpHandler,
  ): Promise<void>;

  /** Stops serving at an address; requests in progress are completed. */
  abstract stopServing(address: string): Promise<void>;

  /** Closes all clients and servers, interrupting requests in progress. */
  abstract close(): Promise<void>;
}
