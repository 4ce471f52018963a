/**
 * Which peers answered: `far` if one in another failure domain did, or if there is no other
 * domain; `near` if only peers in the same domain did; `none` if none did or none was asked.
 */
export type PeerReach = 'none' | 'near' | 'far';

/** Obtains evidence that the view of the store is fresh. */
export abstract class ViewRefresher {
  /** Requests evidence at once, which is recorded in the FreshnessTable. Never rejects. */
  abstract refresh(): Promise<PeerReach>;
}
