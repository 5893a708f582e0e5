import test from 'ava';
import {createTcpNetwork} from './tcp-network.js';

async function openPair(sharesKeys: boolean) {
  const network = createTcpNetwork({sharesKeys});
  const received: unknown[] = [];
  let end = () => {};
  const arrived = new Promise<void>(done => (end = done));
  const listener = await network.listen('127.0.0.1:0', link => {
    link.onMessage(message => {
      received.push(message);
      if (message === 'end') end();
    });
  });
  const link = await network.connect(listener.address);
  const close = async () => {
    link.close();
    await listener.close();
  };
  return {link, received, arrived, close};
}

test('messages with new shapes are received unchanged', async t => {
  const {link, received, arrived, close} = await openPair(true);
  const messages: unknown[] = [];
  for (let index = 0; index < 300; index++) {
    messages.push({kind: 'same', number: index, [`own-${index}`]: [{index}]});
    messages.push({kind: 'same', number: index});
  }
  messages.push('end');
  for (const message of messages) link.send(message);
  await arrived;
  t.deepEqual(received, messages);
  await close();
});

test('keys of a known message shape are not sent again', async t => {
  const bytes: number[] = [];
  for (const sharesKeys of [false, true]) {
    const {link, arrived, close} = await openPair(sharesKeys);
    for (let number = 0; number < 100; number++) {
      link.send({plane: 'fleet', body: {kind: 'ping', number, version: 7}});
    }
    link.send('end');
    await arrived;
    bytes.push(link.bytesOut);
    await close();
  }
  t.true(bytes[1]! < bytes[0]! / 2, `${bytes}`);
});

test('a message that can’t be handled closes its link and reports the error', async t => {
  const faults: string[] = [];
  const network = createTcpNetwork({
    onFault: error => void faults.push(error.message),
  });
  const listener = await network.listen('127.0.0.1:0', link => {
    link.onMessage(() => {
      throw new Error('no such kind');
    });
  });
  const link = await network.connect(listener.address);
  const ended = new Promise<void>(done => link.onClose(done));
  link.send({kind: 'odd'});
  await ended;
  t.deepEqual(faults, ['no such kind']);
  await listener.close();
});
