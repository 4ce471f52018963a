// A stand-in for the platform's metadata store, by PROTOCOL.md: items with revisions, ranges,
// watches, transactions and leases over HTTP/1.1 with JSON bodies.
import {createServer} from 'node:http';
import {performance} from 'node:perf_hooks';
import process from 'node:process';
import {
  clearInterval,
  clearTimeout,
  setInterval,
  setTimeout,
} from 'node:timers';
import {URL} from 'node:url';
import {Buffer} from 'node:buffer';

const PAGE_KEYS = 500;
// The store keeps 20 s of history.
const RETENTION_MS = 20_000;

export class Store {
  constructor() {
    this.items = new Map();
    this.changes = [];
    this.revision = 1;
    this.leases = new Map();
    this.nextLease = 1;
    this.waiting = new Set();
    this.server = createServer((incoming, outgoing) => {
      this.handle(incoming, outgoing).catch(() => outgoing.destroy());
    });
    this.compactedRevision = 0;
    this.leaseTimer = setInterval(() => {
      this.endLeases();
      this.compact();
    }, 50);
  }

  async listen() {
    await new Promise(resolve => this.server.listen(0, '127.0.0.1', resolve));
    return `127.0.0.1:${this.server.address().port}`;
  }

  close() {
    clearInterval(this.leaseTimer);
    this.server.close();
    this.server.closeAllConnections();
  }

  // Writes as the operator or an engine does; returns the revision, which is the acknowledgement.
  put(key, value, lease = 0) {
    const data = Buffer.from(JSON.stringify(value)).toString('base64');
    this.write([{tls_key: key, data, lease}], []);
    return this.revision;
  }

  remove(key) {
    this.write([], [key]);
    return this.revision;
  }

  write(puts, removals) {
    const present = removals.filter(key => this.items.has(key));
    if (puts.length + present.length === 0) return;
    this.revision += 1;
    const mod_revision = this.revision;
    const atMs = performance.now();
    for (const {tls_key, data, lease = 0} of puts) {
      const made = this.items.get(tls_key)?.made ?? mod_revision;
      const item = {tls_key, data, mod_revision, made, lease};
      this.items.set(tls_key, item);
      this.changes.push({event: item, atMs});
    }
    for (const tls_key of present) {
      this.items.delete(tls_key);
      this.changes.push({event: {tls_key, mod_revision, gone: true}, atMs});
    }
    for (const wake of [...this.waiting]) wake();
  }

  compact() {
    const sinceMs = performance.now() - RETENTION_MS;
    while (this.changes.length > 0 && this.changes[0].atMs < sinceMs) {
      this.compactedRevision = this.changes.shift().event.mod_revision;
    }
  }

  endLeases() {
    const nowMs = performance.now();
    for (const [id, lease] of this.leases) {
      if (lease.endMs > nowMs) continue;
      this.leases.delete(id);
      const keys = [...this.items.values()].filter(item => item.lease === id);
      this.write(
        [],
        keys.map(item => item.tls_key),
      );
    }
  }

  async handle(incoming, outgoing) {
    const chunks = [];
    for await (const chunk of incoming) chunks.push(chunk);
    const text = Buffer.concat(chunks).toString();
    const url = new URL(incoming.url, 'http://store');
    const content = text === '' ? {} : JSON.parse(text);
    const [status, answer] = await this.answer(
      `${incoming.method} ${url.pathname}`,
      url.searchParams,
      content,
      outgoing,
    );
    outgoing.writeHead(status, {'content-type': 'application/json'});
    outgoing.end(JSON.stringify(answer));
  }

  async answer(call, query, content, outgoing) {
    if (call === 'GET /-/kv-key') {
      const item = this.items.get(query.get('tls_key'));
      return item ? [200, {...item, at: this.revision}] : [404, {}];
    }
    if (call === 'GET /-/kv-range') return this.answerRange(query);
    if (call === 'GET /-/kv-watch') return this.answerWatch(query, outgoing);
    if (call === 'POST /-/kv-txn') return this.answerTransaction(content);
    if (call === 'POST /-/kv-lease') {
      const lease = this.nextLease++;
      const ttlMs = Math.max(1000, content.ttl_ms);
      this.leases.set(lease, {ttlMs, endMs: performance.now() + ttlMs});
      return [200, {lease, ttl_ms: ttlMs}];
    }
    const id = Number(call.split('/').at(-1));
    const lease = this.leases.get(id);
    if (!lease) return [404, {}];
    if (call.startsWith('POST /-/kv-keep/')) {
      lease.endMs = performance.now() + lease.ttlMs;
      return [200, {ttl_ms: lease.ttlMs}];
    }
    lease.endMs = 0;
    this.endLeases();
    return [200, {}];
  }

  answerRange(query) {
    const prefix = query.get('path_prefix');
    const after = query.get('since_revision') ?? '';
    const keys = [...this.items.keys()]
      .filter(key => key.startsWith(prefix) && key > after)
      .sort();
    const page = keys.slice(0, PAGE_KEYS);
    return [
      200,
      {
        entries: page.map(key => this.items.get(key)),
        more: keys.length > page.length,
        at: this.revision,
      },
    ];
  }

  async answerWatch(query, outgoing) {
    const prefix = query.get('path_prefix');
    const since = Number(query.get('since_revision'));
    const endMs = performance.now() + Number(query.get('wait_ms'));
    for (;;) {
      if (since < this.compactedRevision) return [410, {}];
      const events = this.changes
        .map(({event}) => event)
        .filter(
          ({mod_revision, tls_key}) =>
            mod_revision > since && tls_key.startsWith(prefix),
        );
      const leftMs = endMs - performance.now();
      if (events.length > 0 || leftMs <= 0 || outgoing.destroyed) {
        return [200, {events, at: this.revision}];
      }
      await new Promise(resolve => {
        const wake = () => {
          clearTimeout(timer);
          this.waiting.delete(wake);
          resolve();
        };
        const timer = setTimeout(wake, leftMs);
        this.waiting.add(wake);
      });
    }
  }

  answerTransaction({expected_revision = [], put = [], remove = []}) {
    const isMet = expected_revision.every(
      ({tls_key, mod_revision}) =>
        (this.items.get(tls_key)?.mod_revision ?? 0) === mod_revision,
    );
    if (!isMet) {
      const entries = expected_revision.flatMap(
        ({tls_key}) => this.items.get(tls_key) ?? [],
      );
      return [412, {entries}];
    }
    const keys = [...put.map(({tls_key}) => tls_key), ...remove];
    if (keys.some(key => /^(op|servers)\//.test(key))) return [403, {}];
    const hasLease = ({lease = 0}) => lease === 0 || this.leases.has(lease);
    if (!put.every(hasLease)) return [404, {}];
    this.write(put, remove);
    return [200, {mod_revision: this.revision}];
  }
}

export function isTrouble() {
  return process.env.TROUBLE !== '0';
}
