import {addAbortHandler} from '@hollowstack/cancellation';
import {waitFor, type Clock, type Timer} from '@hollowstack/clock';
import {
  AsyncQueue,
  TransportError,
  createJsonResponse,
  type HttpRequest,
  type HttpResponse,
} from '@hollowstack/transport';
import {z} from 'zod';
import {CONTROL_PATH, parseRequestJson} from './handler-stand-in.ts';
import {KeyValueState, type StoredChange} from './key-value-state.ts';
import {
  decodeText,
  encodeText,
  wireLeaseGrantSchema,
  wireLeaseSchema,
  wireTransactionSchema,
  wireWatchSchema,
  wireRangeSchema,
  type wireOperationSchema,
} from './platform-messages.ts';

/** Faults of the platform's key-value service. */
export const platformFaultsSchema = z.object({
  /** Rejects every call as if the connection was refused. */
  isDown: z.boolean().default(false),
  /** Milliseconds by which calls other than watches are delayed before they take effect. */
  delayMs: z.number().default(0),
  /** Number of upcoming answers to drop after their calls took effect; each drop decrements it. */
  lostReplies: z.number().default(0),
  /** Serves range reads from the state at the moment this was switched on. */
  isStale: z.boolean().default(false),
  /** Keeps watches open without sending events. */
  isWatchSilent: z.boolean().default(false),
  /** Calls per second before the service answers 429; 0 for no limit. */
  callsPerSecond: z.number().default(0),
});
/** Faults of the platform's key-value service. */
export type PlatformFaults = z.infer<typeof platformFaultsSchema>;

type WireOperation = z.infer<typeof wireOperationSchema>;
type WireRange = z.infer<typeof wireRangeSchema>;

const RESTORED_LEASE_MS = 30_000;

interface Watcher {
  readonly start: string;
  readonly end: string | undefined;
  readonly queue: AsyncQueue<Uint8Array>;
}

interface GrantedLease {
  readonly ttlMs: number;
  timer: Timer;
}

/** A stand-in for the platform's key-value service, with the JSON gateway API of etcd v3. */
export class PlatformStandIn {
  private readonly clock: Clock;
  private state = new KeyValueState();
  private staleState: KeyValueState | undefined;
  private backup: KeyValueState | undefined;
  private faults: PlatformFaults = platformFaultsSchema.parse({});
  private readonly leases = new Map<string, GrantedLease>();
  private readonly watchers = new Set<Watcher>();
  private nextLeaseId = 1;
  private clusterId = 1;
  private callCount = 0;
  private windowStartMs = 0;
  private windowCalls = 0;

  constructor(clock: Clock) {
    this.clock = clock;
  }

  /** Sets the given faults and leaves the others as they are. */
  setFaults(faults: Partial<PlatformFaults>): void {
    this.faults = {...this.faults, ...faults};
    this.staleState = this.faults.isStale
      ? (this.staleState ?? this.state.createCopy())
      : undefined;
    if (this.faults.isDown) this.closeWatches();
  }

  /** Cancels the timers of all leases and closes all watches. */
  stop(): void {
    for (const {timer} of this.leases.values()) timer.cancel();
    this.leases.clear();
    this.closeWatches();
  }

  /** Returns the number of calls received, including rejected ones; a watch counts once. */
  getCallCount(): number {
    return this.callCount;
  }

  /** Saves a copy of the state for restoreBackup. */
  createBackup(): void {
    this.backup = this.state.createCopy();
  }

  /**
   * Restores the saved copy, if any; later writes are lost. As with etcd, a
   * restored store is a new cluster with a different cluster id.
   */
  restoreBackup(): void {
    if (!this.backup) return;
    this.state = this.backup.createCopy();
    this.clusterId += 1;
    this.restoreLeases();
    this.closeWatches();
  }

  /** Writes a key as the platform itself does, such as an entry of its instance list. */
  putValue(key: string, value: string): void {
    this.state.advanceRevision();
    this.sendToWatchers([this.state.putValue(key, value)]);
  }

  /** Deletes a key as the platform itself does. */
  removeValue(key: string): void {
    this.state.advanceRevision();
    this.sendToWatchers([this.state.removeValue(key)]);
  }

  /** Returns the current value of a key regardless of faults. */
  getValue(key: string): string | undefined {
    return this.state.getValue(key)?.value;
  }

  /** Returns the current keys with a prefix regardless of faults. */
  listKeys(prefix: string): string[] {
    return this.state.listRange(prefix, prefix + '\uffff');
  }

  /**
   * Answers one call.
   *
   * @throws TransportError if the service is down or the answer is dropped.
   */
  async handle(request: HttpRequest): Promise<HttpResponse> {
    if (request.path === CONTROL_PATH) return this.handleControl(request);
    this.callCount += 1;
    if (this.faults.isDown) throw new TransportError('platform down', 'none');
    if (this.isOverRate()) return createJsonResponse(429, {error: 'rate'});
    if (request.path === '/v3/watch') return this.handleWatch(request);
    if (this.faults.delayMs > 0) {
      await waitFor(this.clock, this.faults.delayMs);
    }
    const answer = this.applyCall(request);
    if (this.faults.lostReplies > 0) {
      this.faults.lostReplies -= 1;
      throw new TransportError('answer lost', 'some');
    }
    return createJsonResponse(200, answer);
  }

  private handleControl(request: HttpRequest): HttpResponse {
    const body = parseRequestJson(request);
    this.setFaults(platformFaultsSchema.partial().parse(body));
    return createJsonResponse(200, this.faults);
  }

  private isOverRate(): boolean {
    const {callsPerSecond} = this.faults;
    if (callsPerSecond === 0) return false;
    const nowMs = this.clock.getNow();
    if (nowMs - this.windowStartMs >= 1000) {
      this.windowStartMs = nowMs;
      this.windowCalls = 0;
    }
    this.windowCalls += 1;
    return this.windowCalls > callsPerSecond;
  }

  private applyCall(request: HttpRequest): unknown {
    const body = parseRequestJson(request);
    switch (request.path) {
      case '/v3/kv/range':
        return this.readRange(wireRangeSchema.parse(body));
      case '/v3/kv/txn':
        return this.runTransaction(body);
      case '/v3/lease/grant':
        return this.grantLease(wireLeaseGrantSchema.parse(body).TTL);
      case '/v3/lease/keepalive':
        return this.renewLease(wireLeaseSchema.parse(body).ID);
      case '/v3/lease/revoke':
        this.endLease(wireLeaseSchema.parse(body).ID);
        return {};
      default:
        throw new Error(`no such call: ${request.path}`);
    }
  }

  private readRange(range: WireRange): object {
    const state = this.staleState ?? this.state;
    const end = range.range_end && decodeText(range.range_end);
    const kvs = state
      .listRange(decodeText(range.key), end)
      .map(key => encodeKeyValue(key, state))
      .filter(kv => Number(kv.mod_revision) >= range.min_mod_revision);
    return {header: this.createHeader(state), kvs};
  }

  private runTransaction(body: unknown): object {
    const {compare, success, failure} = wireTransactionSchema.parse(body);
    const succeeded = compare.every(comparison => {
      const stored = this.state.getValue(decodeText(comparison.key));
      return (stored?.modRevision ?? 0) === comparison.mod_revision;
    });
    const operations = succeeded ? success : failure;
    const changes: StoredChange[] = [];
    if (operations.some(isWrite)) this.state.advanceRevision();
    const responses = operations.map(operation =>
      this.applyOperation(operation, changes),
    );
    this.sendToWatchers(changes);
    return {header: this.createHeader(this.state), succeeded, responses};
  }

  private createHeader(state: KeyValueState): object {
    return {
      cluster_id: String(this.clusterId),
      revision: String(state.revision),
    };
  }

  private applyOperation(
    operation: WireOperation,
    changes: StoredChange[],
  ): object {
    const {request_put, request_range, request_delete_range} = operation;
    if (request_range) return {response_range: this.readRange(request_range)};
    if (request_put) {
      const key = decodeText(request_put.key);
      const value = decodeText(request_put.value);
      changes.push(this.state.putValue(key, value, request_put.lease));
      return {response_put: {}};
    }
    if (request_delete_range) {
      const {key, range_end} = request_delete_range;
      const end = range_end && decodeText(range_end);
      for (const found of this.state.listRange(decodeText(key), end)) {
        changes.push(this.state.removeValue(found));
      }
    }
    return {response_delete_range: {}};
  }

  private grantLease(ttlSeconds: number): object {
    const id = String(this.nextLeaseId++);
    const ttlMs = ttlSeconds * 1000;
    this.leases.set(id, {ttlMs, timer: this.scheduleEnd(id, ttlMs)});
    return {ID: id, TTL: String(ttlSeconds)};
  }

  // A restored lease starts with its full TTL; its keys are deleted unless it is renewed.
  private restoreLeases(): void {
    for (const id of this.state.listLeaseIds()) {
      const ttlMs = this.leases.get(id)?.ttlMs ?? RESTORED_LEASE_MS;
      this.leases.get(id)?.timer.cancel();
      this.leases.set(id, {ttlMs, timer: this.scheduleEnd(id, ttlMs)});
    }
  }

  private renewLease(id: string): object {
    const lease = this.leases.get(id);
    if (!lease) return {result: {ID: id}};
    lease.timer.cancel();
    lease.timer = this.scheduleEnd(id, lease.ttlMs);
    return {result: {ID: id, TTL: String(lease.ttlMs / 1000)}};
  }

  private scheduleEnd(id: string, ttlMs: number): Timer {
    return this.clock.schedule(ttlMs, () => this.endLease(id));
  }

  private endLease(id: string): void {
    this.leases.get(id)?.timer.cancel();
    this.leases.delete(id);
    const keys = this.state.listLeaseKeys(id);
    if (keys.length === 0) return;
    this.state.advanceRevision();
    this.sendToWatchers(keys.map(key => this.state.removeValue(key)));
  }

  private handleWatch(request: HttpRequest): HttpResponse {
    const lines = Buffer.from(request.body).toString('utf8').split('\n');
    const queue = new AsyncQueue<Uint8Array>(() => removeWatchers());
    const created = lines.map(line => {
      const range = wireWatchSchema.parse(JSON.parse(line)).create_request;
      const start = decodeText(range.key);
      const end = range.range_end && decodeText(range.range_end);
      return {start, end: end || undefined, queue};
    });
    const removeWatchers = () => {
      created.forEach(watcher => this.watchers.delete(watcher));
      queue.end();
    };
    created.forEach(watcher => this.watchers.add(watcher));
    addAbortHandler(request.signal, removeWatchers);
    queue.push(encodeWatchLine({created: true, events: []}));
    return {status: 200, headers: {}, body: queue};
  }

  private sendToWatchers(changes: readonly StoredChange[]): void {
    if (this.faults.isWatchSilent) return;
    for (const {start, end, queue} of this.watchers) {
      const events = changes
        .filter(({key}) =>
          end === undefined ? key === start : key >= start && key < end,
        )
        .map(encodeChange);
      if (events.length > 0) queue.push(encodeWatchLine({events}));
    }
  }

  private closeWatches(): void {
    for (const {queue} of this.watchers) queue.end();
    this.watchers.clear();
  }
}

function isWrite(operation: WireOperation): boolean {
  return operation.request_range === undefined;
}

function encodeKeyValue(key: string, state: KeyValueState) {
  const stored = state.getValue(key)!;
  return {
    key: encodeText(key),
    value: encodeText(stored.value),
    mod_revision: String(stored.modRevision),
    create_revision: String(stored.createRevision),
  };
}

function encodeChange({key, stored, revision}: StoredChange): object {
  return {
    type: stored ? 'PUT' : 'DELETE',
    kv: {
      key: encodeText(key),
      value: encodeText(stored?.value ?? ''),
      mod_revision: String(revision),
    },
  };
}

function encodeWatchLine(result: object): Buffer {
  return Buffer.from(JSON.stringify({result}) + '\n');
}
