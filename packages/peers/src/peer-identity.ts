/** How this instance identifies itself to its peers. */
export interface PeerIdentity {
  readonly id: string;
  readonly failureDomain: string;
}
