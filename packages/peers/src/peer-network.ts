/** A byte stream to a peer. */
export interface PeerSocket {
  send(bytes: Uint8Array): void;
  /** Sets the function that gets the bytes that arrive. */
  setDataHandler(handleData: (bytes: Uint8Array) => void): void;
  /** Sets the function that is called once when the stream has ended. */
  setCloseHandler(handleClose: () => void): void;
  close(): void;
}

/** Makes and takes byte streams between instances. */
export abstract class PeerNetwork {
  /** Starts taking streams; resolves to the address in use. */
  abstract listen(
    address: string,
    handleSocket: (socket: PeerSocket) => void,
  ): Promise<string>;

  /** Opens a stream. */
  abstract connect(address: string): Promise<PeerSocket>;

  /** Stops taking streams. */
  abstract close(): void;
}
