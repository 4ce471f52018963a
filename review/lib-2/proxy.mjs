// A proxy before the peer address of a gateway. It forwards bytes in order; `inspect` sees each
// chunk of a connection before it is forwarded and may return a promise to delay it.
import {connect, createServer} from 'node:net';

export class Proxy {
  constructor(inspect) {
    // The address to forward to; set before the first connection.
    this.target = '';
    this.inspect = inspect;
    this.server = createServer(client => this.handle(client));
  }

  async listen() {
    await new Promise(resolve => this.server.listen(0, '127.0.0.1', resolve));
    return `127.0.0.1:${this.server.address().port}`;
  }

  close() {
    this.server.close();
  }

  handle(client) {
    const [host, port] = this.target.split(':');
    const server = connect({host, port: Number(port), noDelay: true});
    client.setNoDelay(true);
    const link = {peer: ''};
    for (const [from, to, direction] of [
      [client, server, 'request'],
      [server, client, 'reply'],
    ]) {
      let last = Promise.resolve();
      from.on('error', () => to.destroy());
      from.on('close', () => void last.then(() => to.destroy()));
      from.on('data', bytes => {
        const text = bytes.toString('latin1');
        // The handshake names the instance that opened the connection.
        const name = /instance.(g[0-9])/.exec(text);
        if (direction === 'request' && name && link.peer === '') {
          link.peer = name[1];
        }
        const delay = this.inspect({link, direction, text});
        last = last.then(() => delay).then(() => to.write(bytes));
      });
    }
  }
}
