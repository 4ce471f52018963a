import {createTimeoutSignal, type Clock} from '@hollowstack/clock';
import {
  TransportError,
  readJson,
  readLines,
  sendJson,
  type HttpClient,
  type HttpResponse,
} from '@hollowstack/transport';
import {
  leaseGrantResponseSchema,
  leaseRenewResponseSchema,
  rangeResponseSchema,
  transactionResponseSchema,
  watchResponseSchema,
  type wireKeyValueSchema,
} from './gateway-messages.ts';
import {
  KeyValueStore,
  StoreError,
  type Comparison,
  type KeyRange,
  type KeyValue,
  type Lease,
  type Operation,
  type RangeResult,
  type StoreEffect,
  type Transaction,
  type TransactionResult,
  type WatchEvent,
} from './key-value-store.ts';
import type {z} from 'zod';

/** Address and timeout of the store. */
export interface GatewayStoreOptions {
  /** IP address and port. */
  readonly address: string;
  /** Milliseconds to wait for an answer. */
  readonly timeoutMs: number;
}

/** HTTP status code. */
const OK = 200;

/** Adapter to the JSON gateway of the etcd v3 API. */
export class GatewayStore extends KeyValueStore {
  private readonly client: HttpClient;
  private readonly clock: Clock;
  private readonly options: GatewayStoreOptions;

  constructor(client: HttpClient, clock: Clock, options: GatewayStoreOptions) {
    super();
    this.client = client;
    this.clock = clock;
    this.options = options;
  }

  async readRange(range: KeyRange, minModRevision = 0): Promise<RangeResult> {
    const body = {
      ...encodeRange(range),
      ...(minModRevision > 0 ? {min_mod_revision: String(minModRevision)} : {}),
    };
    const answer = await this.call('/v3/kv/range', body, 'none');
    return decodeRangeResult(rangeResponseSchema.parse(answer));
  }

  async runTransaction(transaction: Transaction): Promise<TransactionResult> {
    const {comparisons, onSuccess, onFailure = []} = transaction;
    const body = {
      compare: comparisons.map(encodeComparison),
      success: onSuccess.map(encodeOperation),
      failure: onFailure.map(encodeOperation),
    };
    const answer = transactionResponseSchema.parse(
      await this.call('/v3/kv/txn', body, 'unknown'),
    );
    const storeRevision = answer.header.revision;
    const storeId = answer.header.cluster_id;
    const reads = answer.responses
      .map(response => response.response_range)
      .filter(range => range !== undefined)
      .map(range => ({
        storeId,
        storeRevision,
        keyValues: (range.kvs ?? []).map(decodeKeyValue),
      }));
    return {succeeded: answer.succeeded, storeId, storeRevision, reads};
  }

  async grantLease(ttlMs: number): Promise<Lease> {
    const body = {TTL: String(Math.ceil(ttlMs / 1000))};
    const answer = leaseGrantResponseSchema.parse(
      await this.call('/v3/lease/grant', body, 'unknown'),
    );
    return {id: answer.ID, ttlMs: answer.TTL * 1000};
  }

  async renewLease(leaseId: string): Promise<boolean> {
    const answer = leaseRenewResponseSchema.parse(
      await this.call('/v3/lease/keepalive', {ID: leaseId}, 'unknown'),
    );
    return answer.result.TTL > 0;
  }

  async revokeLease(leaseId: string): Promise<void> {
    await this.call('/v3/lease/revoke', {ID: leaseId}, 'unknown');
  }

  async *watchRanges(
    ranges: readonly KeyRange[],
    fromRevision: number,
    signal: AbortSignal,
  ): AsyncIterable<readonly WatchEvent[]> {
    const body = ranges.map(range => ({
      create_request: {
        ...encodeRange(range),
        start_revision: String(fromRevision),
      },
    }));
    const response = await this.openWatch(body, signal);
    try {
      for await (const line of readLines(response.body)) {
        const {result} = watchResponseSchema.parse(JSON.parse(line));
        if (result.canceled) return;
        yield result.events.map(event => ({
          type: event.type === 'DELETE' ? 'delete' : 'put',
          key: decodeBase64(event.kv.key),
          value: decodeBase64(event.kv.value),
          modRevision: event.kv.mod_revision,
        }));
      }
    } catch (error) {
      throw toStoreError(error, 'none');
    }
  }

  private async openWatch(
    body: ReadonlyArray<{create_request: unknown}>,
    signal: AbortSignal,
  ): Promise<HttpResponse> {
    // One request carries several create requests, one per line, so that the
    // store counts a single pending call.
    const text = body.map(request => JSON.stringify(request)).join('\n');
    try {
      const response = await this.client.send(this.options.address, {
        method: 'POST',
        path: '/v3/watch',
        headers: {'content-type': 'application/json'},
        body: Buffer.from(text),
        signal,
      });
      if (response.status === OK) return response;
      throw new StoreError(`watch answered ${response.status}`, 'none');
    } catch (error) {
      throw toStoreError(error, 'none');
    }
  }

  private async call(
    path: string,
    body: unknown,
    effectOnFailure: StoreEffect,
  ): Promise<unknown> {
    const {address, timeoutMs} = this.options;
    const deadline = createTimeoutSignal(
      this.clock,
      timeoutMs,
      () => new StoreError(`no answer in ${timeoutMs} ms`, effectOnFailure),
    );
    try {
      const response = await sendJson(
        this.client,
        address,
        path,
        body,
        deadline.signal,
      );
      const answer = await readJson(response);
      if (response.status === OK) return answer;
      // The gateway answers with an error only before it applies anything.
      throw new StoreError(`${path} answered ${response.status}`, 'none');
    } catch (error) {
      throw toStoreError(error, effectOnFailure);
    } finally {
      deadline.release();
    }
  }
}

function toStoreError(
  error: unknown,
  effectOnFailure: StoreEffect,
): StoreError {
  if (error instanceof StoreError) return error;
  const isUnsent = error instanceof TransportError && error.progress === 'none';
  const message = error instanceof Error ? error.message : String(error);
  return new StoreError(message, isUnsent ? 'none' : effectOnFailure, error);
}

function encodeRange(range: KeyRange): {key: string; range_end?: string} {
  const key = encodeBase64(range.start);
  if (range.end === undefined) return {key};
  return {key, range_end: encodeBase64(range.end)};
}

function encodeComparison(comparison: Comparison): object {
  return {
    key: encodeBase64(comparison.key),
    target: 'MOD',
    result: 'EQUAL',
    mod_revision: String(comparison.modRevision),
  };
}

function encodeOperation(operation: Operation): object {
  switch (operation.type) {
    case 'put':
      return {
        request_put: {
          key: encodeBase64(operation.key),
          value: encodeBase64(operation.value),
          ...(operation.leaseId === undefined
            ? {}
            : {lease: operation.leaseId}),
        },
      };
    case 'delete':
      return {request_delete_range: encodeRange(operation.range)};
    case 'read':
      return {request_range: encodeRange(operation.range)};
  }
}

function decodeRangeResult(
  answer: z.infer<typeof rangeResponseSchema>,
): RangeResult {
  return {
    storeId: answer.header.cluster_id,
    storeRevision: answer.header.revision,
    keyValues: answer.kvs.map(decodeKeyValue),
  };
}

function decodeKeyValue(wire: z.infer<typeof wireKeyValueSchema>): KeyValue {
  return {
    key: decodeBase64(wire.key),
    value: decodeBase64(wire.value),
    modRevision: wire.mod_revision,
    createRevision: wire.create_revision,
  };
}

function encodeBase64(text: string): string {
  return Buffer.from(text, 'utf8').toString('base64');
}

function decodeBase64(text: string): string {
  return Buffer.from(text, 'base64').toString('utf8');
}
