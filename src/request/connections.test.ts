import test from 'ava';
import {createConnections} from './connections.js';
import type {Connections} from './connections.js';
import {createRawServer} from './fakes/raw-server.js';

const whole = 'HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok';

function ask(connections: Connections): Promise<string> | undefined {
  let settle: (end: string) => void = () => {};
  const ended = new Promise<string>(resolve => (settle = resolve));
  const sent = connections.dispatch(
    {method: 'GET', path: '/stock'},
    {
      onConnect: () => {},
      onHeaders: () => true,
      onData: () => true,
      onComplete: () => settle('whole'),
      onError: error => settle(error.message),
    },
  );
  return sent && ended;
}

test('no more connections are opened than the limit', async t => {
  const server = await createRawServer(() => {});
  const connections = createConnections({address: server.address, limit: 2});
  const asked = [ask(connections), ask(connections)];
  t.is(ask(connections), undefined);
  await server.close();
  await Promise.all(asked);
  await connections.close();
});

test('a connection is used again, and let go when it is not needed', async t => {
  const server = await createRawServer(socket => socket.write(whole));
  const connections = createConnections({address: server.address, limit: 9});
  await Promise.all([ask(connections), ask(connections), ask(connections)]);
  t.is(connections.size, 3);
  connections.prune();
  await ask(connections);
  connections.prune();
  t.is(connections.size, 1);
  connections.prune();
  t.is(connections.size, 0);
  t.is(await ask(connections), 'whole');
  await connections.close();
  await server.close();
});

test('a retry from inside an error does not break the client', async t => {
  // The connection is refused; the caller's error handling asks again at once,
  // on the same client. Passed on inside the client's own error handling, that
  // breaks an assertion there and the process ends.
  const server = await createRawServer(() => {});
  await server.close();
  const connections = createConnections({address: server.address, limit: 1});
  let errors = 0;
  await new Promise<void>(resolve => {
    const again = () =>
      connections.dispatch(
        {method: 'GET', path: '/stock'},
        {
          onConnect: () => {},
          onHeaders: () => true,
          onData: () => true,
          onComplete: () => {},
          onError: () => {
            errors++;
            if (errors < 3) again();
            else resolve();
          },
        },
      );
    again();
  });
  t.is(errors, 3);
  await connections.close();
});
