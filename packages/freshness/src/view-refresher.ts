/**
 * Whether peers answered: `far` where one of another failure domain did, or where there is
 * no other domain; `near` where only others did; `none` where nobody did, or nobody was asked.
 */
export type PeerReach = 'none' | 'near' | 'far';

/** A way to have evidence that the view of the store is fresh. */
export abstract class ViewRefresher {
  /** Asks at once; evidence goes to the table. Never rejects. */
  abstract refresh(): Promise<PeerReach>;
}
