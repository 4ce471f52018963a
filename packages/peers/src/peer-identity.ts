/** Who this instance is to its peers. */
export interface PeerIdentity {
  readonly id: string;
  /** Failure domain. */
  readonly failureDomain: string;
}
