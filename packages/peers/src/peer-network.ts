/** A byte stream to a peer. */
export interface PeerSocket {
  send(bytes: Uint8Array): void;
  /** Sets the function that receives incoming bytes. */
  setDataHandler(handleData: (bytes: Uint8Array) => void): void;
  /** Sets the function that is called once, when the stream has ended. */
  setCloseHandler(handleClose: () => void): void;
  close(): void;
}

/** Opens and accepts byte streams between instances. */
export abstract class PeerNetwork {
  /** Starts accepting streams; resolves to the bound address. */
  abstract listen(
    address: string,
    handleSocket: (socket: PeerSocket) => void,
  ): Promise<string>;

  /** Opens a stream; rejects if the peer cannot be reached. */
  abstract connect(address: string): Promise<PeerSocket>;

  /** Stops accepting streams. */
  abstract close(): void;
}
