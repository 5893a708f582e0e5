/** A relay in front of a server, whose connections can be held up without a reset. */
import {connect, createServer} from 'node:net';
import type {Socket} from 'node:net';
import {parseAddress} from '../../link/address.js';
import type {Address} from '../../link/link.js';
import {listen} from './mesh.js';

/** A relay in front of one server. */
export interface HeldLink {
  readonly address: Address;
  /** Connections opened so far. */
  readonly opened: number;
  /** Delivers nothing more on the connections that are open, or on any. */
  hold(which: 'open' | 'all'): void;
  /** Delivers what was held up, in order. */
  release(): void;
  close(): void;
}

/** Starts a relay that forwards all bytes at once. */
export async function createHeldLink(target: Address): Promise<HeldLink> {
  const held = new Set<Socket>();
  const sockets = new Set<Socket>();
  const {host, port} = parseAddress(target);
  let opened = 0;
  let holdsNew = false;

  function join(from: Socket, to: Socket): void {
    sockets.add(from);
    if (holdsNew) held.add(from);
    // A close is held up like the bytes before it.
    from.on('readable', () => forward(from, to));
    from.on('end', () => to.end());
    from.on('error', () => from.destroy());
    from.on('close', () => {
      sockets.delete(from);
      held.delete(from);
      if (from.errored) to.destroy();
    });
  }

  function forward(from: Socket, to: Socket): void {
    if (held.has(from)) return;
    for (;;) {
      const part = from.read() as Buffer | null;
      if (part === null) return;
      to.write(part);
    }
  }

  const server = createServer({allowHalfOpen: true}, near => {
    opened++;
    const far = connect({host, port, allowHalfOpen: true});
    join(near, far);
    join(far, near);
  });
  const address = await listen(server);
  return {
    address,
    get opened() {
      return opened;
    },
    hold: which => {
      holdsNew = which === 'all';
      for (const socket of sockets) held.add(socket);
    },
    release: () => {
      const released = [...held];
      held.clear();
      holdsNew = false;
      for (const socket of released) socket.emit('readable');
    },
    close: () => {
      server.close();
      for (const socket of sockets) socket.destroy();
    },
  };
}
