/** The thread of a `ThreadClient`; see there. */
import {connect} from 'node:net';
import type {Socket} from 'node:net';
import {parentPort, workerData} from 'node:worker_threads';
import type {ThreadCommand, ThreadReport} from './thread-client.js';

const {host, port, signal} = workerData as {
  host: string;
  port: number;
  signal: Int32Array;
};
const sockets: Socket[] = [];

function report(message: ThreadReport): void {
  parentPort!.postMessage(message);
}

function open(): number {
  const connection = sockets.length;
  const socket = connect(port, host);
  let text = '';
  socket.on('connect', () => report({kind: 'connected', connection}));
  socket.on('data', part => {
    text += part.toString('latin1');
    report({kind: 'received', connection, text});
  });
  socket.on('error', () => {});
  socket.on('close', () => report({kind: 'closed', connection, text}));
  sockets.push(socket);
  return connection;
}

/** Resolves once the system has taken all bytes. */
function write(connection: number, text: string): Promise<void> {
  return new Promise(resolve => {
    sockets[connection]!.write(text, 'latin1', () => resolve());
  });
}

async function run(command: ThreadCommand): Promise<void> {
  switch (command.kind) {
    case 'open':
      open();
      return;
    case 'send': {
      const {text, connections, opened} = command;
      const all = [...connections];
      for (let count = 0; count < opened; count++) all.push(open());
      await Promise.all(all.map(connection => write(connection, text)));
      Atomics.add(signal, 0, 1);
      Atomics.notify(signal, 0);
      return;
    }
  }
}

parentPort!.on('message', command => void run(command as ThreadCommand));
