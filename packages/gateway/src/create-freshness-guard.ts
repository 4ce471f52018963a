import {
  FreshnessGuard,
  ViewRefresher,
  type FreshnessTable,
  type PeerReach,
} from '@hollowstack/freshness';
import type {KeyValueStore} from '@hollowstack/store';
import type {GossipExchange} from './gossip-exchange.ts';
import type {GatewayEnvironment} from './create-gateway.ts';

/** Makes the watch ask the store, or the peers that relay its changes, at once. */
class WatchRefresher extends ViewRefresher {
  private readonly store: KeyValueStore;

  constructor(store: KeyValueStore) {
    super();
    this.store = store;
  }

  async refresh(): Promise<PeerReach> {
    this.store.refreshWatch();
    return 'none';
  }
}

/** Compares the view with that of a peer at once. */
class PeerRefresher extends ViewRefresher {
  private readonly exchange: Pick<GossipExchange, 'refreshView'>;
  private readonly which: 'far' | 'near';

  constructor(
    exchange: Pick<GossipExchange, 'refreshView'>,
    which: 'far' | 'near',
  ) {
    super();
    this.exchange = exchange;
    this.which = which;
  }

  refresh(): Promise<PeerReach> {
    return this.exchange.refreshView(this.which);
  }
}

/** Creates the guard of the store view with its refreshers, and the gauge of the view's age. */
export function createFreshnessGuard(
  {
    clock,
    logger,
    metrics,
  }: Pick<GatewayEnvironment, 'clock' | 'logger' | 'metrics'>,
  parts: {
    readonly table: FreshnessTable;
    readonly store: KeyValueStore;
    readonly exchange: GossipExchange;
  },
): FreshnessGuard {
  const {table, store, exchange} = parts;
  metrics.setGauge('hollowstack_view_age_seconds', {}, () =>
    Math.min(Number.MAX_SAFE_INTEGER, table.getAgeMs() / 1000),
  );
  const refreshers = [
    new WatchRefresher(store),
    new PeerRefresher(exchange, 'far'),
    new PeerRefresher(exchange, 'near'),
  ];
  return new FreshnessGuard({
    clock,
    logger,
    metrics,
    table,
    refreshers,
  });
}
