import test from 'ava';
import type {Channels} from '../link/channel.js';
import type {Link} from '../link/link.js';
import {createSilentLog} from '../log/log.js';
import {createRandom} from '../random/random.js';
import {success} from '../result/failure.js';
import {createFakeTimers} from '../time/fakes/fake-timers.js';
import {createDistributor} from './distributor.js';
import {createOperator} from './fakes/test-cluster.js';
import type {Push, Request, Response} from './messages.js';
import {createSectionSource} from './section-source.js';

/** Creates a distributor with one subscriber, whose link can be full. */
function setUp(ringLength = 1024) {
  const timers = createFakeTimers();
  const operator = createOperator();
  operator.accept({put: ['crewbook']});
  const distributor = createDistributor({
    source: createSectionSource(operator),
    barrier: async () => success(operator.current().version),
    asOf: () => timers.now(),
    timers,
    random: createRandom(1),
    log: createSilentLog(),
    batchWindow: 0,
    ringLength,
  });
  const link = {pending: 0};
  const sent: Response[] = [];
  let receive: (request: Request) => void = () => {};
  const channels: Channels = {
    link: link as unknown as Link,
    on: () => ({
      send: body => sent.push(body as Response),
      onMessage: next => (receive = next),
    }),
    onClose: () => {},
  };
  distributor.accept(channels);
  const sendRequest = (request: Request) => receive(request);
  sendRequest({
    kind: 'subscribe',
    subscription: 1,
    services: 'all',
    complete: false,
  });
  return {timers, operator, link, sent, sendRequest};
}

const versionsOf = (sent: readonly Response[]) =>
  sent
    .filter((one): one is Push => one.kind === 'push')
    .map(push => push.version);

// Guards against unbounded memory use by a node that reads slowly or whose VM
// is suspended. If its home continued to push, it would hold a growing queue of
// states that are outdated on arrival.
test('a full link gets one push for all missed changes once it is free', t => {
  const {timers, operator, link, sent} = setUp();
  link.pending = 10_000_000;
  for (let change = 0; change < 5; change++) {
    operator.accept({put: ['crewbook']});
    timers.advance(1000);
  }
  t.deepEqual(versionsOf(sent), [1]);
  link.pending = 0;
  timers.advance(200);
  t.deepEqual(versionsOf(sent), [1, 6]);
});

test('a subscriber whose link was full for longer than the ring is synchronized by comparison', t => {
  const {timers, operator, link, sent, sendRequest} = setUp(2);
  link.pending = 10_000_000;
  for (let change = 0; change < 5; change++) {
    operator.accept({put: ['crewbook']});
    timers.advance(1000);
  }
  link.pending = 0;
  timers.advance(200);
  t.deepEqual(sent.at(-1), {kind: 'differ', subscription: 1});
  sendRequest({kind: 'compare', subscription: 1, version: 1, digests: []});
  timers.advance(200);
  t.deepEqual(versionsOf(sent), [1, 6]);
});

test('a synchronization waits while the link is full', t => {
  const {timers, link, sent, sendRequest} = setUp();
  link.pending = 10_000_000;
  sendRequest({kind: 'compare', subscription: 1, version: 0, digests: []});
  timers.advance(1000);
  t.is(versionsOf(sent).length, 1);
  link.pending = 0;
  timers.advance(200);
  t.is(versionsOf(sent).length, 2);
});
