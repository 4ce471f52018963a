/** What one instance would use of a workspace's limit. */
export interface LimitDemand {
  readonly instance: string;
  readonly amount: number;
}

/** What one instance may use of it. */
export interface LimitShare {
  readonly instance: string;
  readonly amount: number;
}

/**
 * Shares a limit among instances: each gets what it asks for up to an even
 * part, what some leave is lent to the others, and what all leave is spread
 * evenly for the demand to come.
 */
export function computeShares(
  limit: number,
  demands: readonly LimitDemand[],
): LimitShare[] {
  const ascending = [...demands].sort(
    (left, right) => left.amount - right.amount,
  );
  let left = limit;
  const shares = ascending.map((demand, index) => {
    const evenPart = left / (ascending.length - index);
    const amount = Math.min(demand.amount, evenPart);
    left -= amount;
    return {instance: demand.instance, amount};
  });
  const spare = left / Math.max(1, shares.length);
  return shares.map(({instance, amount}) => ({
    instance,
    amount: amount + spare,
  }));
}
