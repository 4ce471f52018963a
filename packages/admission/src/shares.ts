/** How much of a workspace's limit one instance would use. */
export interface LimitDemand {
  readonly instance: string;
  readonly amount: number;
}

/** How much of a workspace's limit one instance may use. */
export interface LimitShare {
  readonly instance: string;
  readonly amount: number;
}

/**
 * Splits a limit among instances by max-min fairness: each gets its demand up
 * to an even part, and what some do not use goes to the others. What remains
 * after all demands are met is spread evenly to cover future demand.
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
