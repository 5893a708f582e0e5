import test from 'ava';
import {createFakeNetwork} from '../link/fakes/fake-network.js';
import type {Link} from '../link/link.js';
import {createSilentLog} from '../log/log.js';
import {createRandom} from '../random/random.js';
import {createFakeTimers} from '../time/fakes/fake-timers.js';
import {createPeers} from './peers.js';

const self = {name: 'a', address: '10.0.0.1:7000', failureDomain: 'x'};
const other = {name: 'b', address: '10.0.0.2:7000', failureDomain: 'y'};

/**
 * Maintains a link to a member that uses `accept`; returns the number of links.
 */
async function countLinks(
  accept: (link: Link) => void,
  silence = 10_000,
): Promise<number> {
  const timers = createFakeTimers();
  const network = createFakeNetwork(timers);
  let links = 0;
  await network.from('b').listen(other.address, link => {
    links++;
    accept(link);
  });
  const peers = await createPeers({
    self,
    network: network.from('a'),
    timers,
    random: createRandom(1),
    log: createSilentLog(),
    reconnectDelay: 50,
    silenceTimeout: silence,
    hello: () => ({kind: 'hello', protocol: 1, member: self, storage: 's'}),
    onHello: () => {},
    onMessage: () => {},
    onDisconnected: () => {},
  });
  peers.maintainLink(other);
  await timers.advanceAsync(30_000);
  return links;
}

test('a link without messages is opened again', async t => {
  // After a network cut of many minutes the operating system retransmits only
  // every two minutes, so a member that is reachable again would stay
  // disconnected that long.
  t.true((await countLinks(() => {})) >= 2);
  t.is(await countLinks(() => {}, Number.MAX_SAFE_INTEGER), 1);
});

test('a quiet link whose other end answers stays open', async t => {
  const links = await countLinks(link => {
    link.onMessage(message => link.send(message));
  });
  t.is(links, 1);
});

test('a member that refuses links is tried at growing intervals', async t => {
  const links = await countLinks(link => link.close());
  t.true(links > 5 && links < 100, `${links} links`);
});
