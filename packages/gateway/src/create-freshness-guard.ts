import {
  FreshnessGuard,
  ViewRefresher,
  type FreshnessTable,
  type PeerReach,
} from '@hollowstack/freshness';
import type {KeyValueStore} from '@hollowstack/store';
import type {GossipExchange} from './gossip-exchange.ts';
import type {GatewayEnvironment} from './create-gateway.ts';

/** Has the store's watch, or the peers that pass its changes on, asked at once. */
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

/** Compares with a peer at once. */
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

/** Wires the guard of the view of the store to the ways by which the view is refreshed. */
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
