// A stand-in for a plain engine, by PROTOCOL.md. It answers each request that names it and
// records it; an engine that is not named answers 421.
import {createServer} from 'node:http';
import {performance} from 'node:perf_hooks';
import {setTimeout} from 'node:timers';

export class Engine {
  // workMs: how long a request runs. record: called with each arrival. chooseStatus: returns the
  // status of a request that has run.
  constructor({id, backend, zone, workMs = 20, record, chooseStatus}) {
    Object.assign(this, {id, backend, zone, workMs, record});
    this.chooseStatus = chooseStatus ?? (() => 200);
    this.sequence = 0;
    this.server = createServer((incoming, outgoing) => {
      this.handle(incoming, outgoing).catch(() => outgoing.destroy());
    });
  }

  async listen() {
    await new Promise(resolve => this.server.listen(0, '127.0.0.1', resolve));
    this.address = `127.0.0.1:${this.server.address().port}`;
  }

  close() {
    this.server.close();
    this.server.closeAllConnections();
  }

  // The engine's entry in the store.
  createEntry(phase = 'ready') {
    this.sequence += 1;
    return {
      backend: this.backend,
      address: this.address,
      zone: this.zone,
      config_revision: 'v1',
      capacity: 64,
      phase,
      warmup_left_ms: 0,
      sequence: this.sequence,
    };
  }

  async handle(incoming, outgoing) {
    const arrivedAtMs = performance.now();
    incoming.resume();
    await new Promise(resolve => incoming.once('end', resolve));
    const id = incoming.headers['attempt-id'] ?? '';
    const echo = {'Attempt-Id': id};
    const target = incoming.headers['target-instance'];
    if (target !== undefined && target !== this.id) {
      outgoing.writeHead(421, {...echo, 'Not-Executed': '1'}).end();
      return;
    }
    this.record({id, engine: this.id, atMs: arrivedAtMs, url: incoming.url});
    await new Promise(resolve => setTimeout(resolve, this.workMs));
    const status = this.chooseStatus();
    outgoing.writeHead(status, {
      ...echo,
      'Response-Signature': `${this.id}.${id}`,
    });
    outgoing.end(status === 200 ? `done by ${this.id}` : 'an error');
  }
}
