import {addAbortHandler} from '@hollowstack/cancellation';
import {scheduleTimeout, type Clock} from '@hollowstack/clock';
import {splitAddress} from '@hollowstack/types';
import {connect, type Socket} from 'node:net';
import type {Duplex} from 'node:stream';

/** An established connection to an upstream. */
export interface Connection {
  readonly stream: Duplex;
  /** Id of the peer that forwards the bytes; undefined on a direct connection. */
  readonly via: string | undefined;
}

/** A connection to establish. */
export interface ConnectTarget {
  readonly address: string;
  /** Milliseconds within which the connection must be established. */
  readonly timeoutMs: number;
  /** Ends the attempt once it aborts. */
  readonly signal?: AbortSignal;
}

/** The other side did not accept a connection within its time-out. */
export class ConnectTimeoutError extends Error {
  constructor() {
    super('the connection did not stand');
    this.name = 'ConnectTimeoutError';
  }
}

/**
 * This instance has no working path to an upstream. That says nothing about the upstream
 * itself.
 */
export class NoPathError extends Error {
  constructor(message: string, options?: ErrorOptions) {
    super(message, options);
    this.name = 'NoPathError';
  }
}

/** Establishes connections to upstreams. */
export abstract class Connector {
  /**
   * Establishes a connection. Its stream has an error handler already.
   *
   * @throws NoPathError if the upstream may be sound, ConnectTimeoutError if it does not
   *   answer; otherwise the system's error.
   */
  abstract connect(target: ConnectTarget): Promise<Connection>;

  /** Returns whether this instance's own path to an address, and not the upstream, has failed. */
  abstract isPathLost(address: string): boolean;

  /** Returns whether this instance has no path to any upstream, not even through a peer. */
  abstract hasOutage(): boolean;
}

/** Connects to upstreams directly. */
export class DirectConnector extends Connector {
  private readonly clock: Clock;

  constructor(clock: Clock) {
    super();
    this.clock = clock;
  }

  async connect(target: ConnectTarget): Promise<Connection> {
    const {signal} = target;
    signal?.throwIfAborted();
    const socket = this.openSocket(target.address);
    // 'close' follows every error, and the reader of the stream handles that event.
    socket.on('error', () => {});
    return new Promise((resolve, reject) => {
      const settle = (action: () => void) => {
        timer.cancel();
        removeAbortHandler();
        socket.off('error', fail);
        action();
      };
      const fail = (error: Error) =>
        settle(() => {
          socket.destroy();
          reject(error);
        });
      const timer = scheduleTimeout(this.clock, target.timeoutMs, () =>
        fail(new ConnectTimeoutError()),
      );
      const removeAbortHandler = addAbortHandler(signal, reason =>
        fail(reason as Error),
      );
      socket.once('error', fail);
      socket.once('connect', () =>
        settle(() => resolve({stream: socket, via: undefined})),
      );
    });
  }

  isPathLost(): boolean {
    return false;
  }

  hasOutage(): boolean {
    return false;
  }

  /** Begins to connect. */
  protected openSocket(address: string): Socket {
    const {host, port} = splitAddress(address);
    return connect({host, port, noDelay: true});
  }
}
