import type {Clock} from '@hollowstack/clock';
import type {PeerNetwork} from '@hollowstack/peers';
import type {HttpClient, HttpHandler} from '@hollowstack/transport';

/** What a process of the system has of the world. */
export interface ProcessEnvironment {
  readonly clock: Clock;
  readonly client: HttpClient;
  readonly peerNetwork: PeerNetwork;
}

/** Connects the processes of a local system. */
export abstract class SystemNetwork {
  /** Creates what one process, known by its name, sees of the network. */
  abstract createEnvironment(name: string): ProcessEnvironment;

  /** Chooses an address for a process; nothing listens there yet. */
  abstract reserveAddress(): Promise<string>;

  /** Serves a handler at an address on behalf of a process. */
  abstract serve(
    name: string,
    address: string,
    handler: HttpHandler,
  ): Promise<void>;

  /** Stops serving at an address; requests in progress are not cut. */
  abstract stopServing(address: string): Promise<void>;

  /** Ends everything. */
  abstract close(): Promise<void>;
}
