import test from 'ava';
import {emptyConfiguration} from '../configuration/configuration.js';
import type {Quota} from '../configuration/configuration.js';
import type {Channels} from '../link/channel.js';
import {createRecordedLog} from '../log/fakes/recorded-log.js';
import {createNoMetrics} from '../metrics/metrics.js';
import {createRandom} from '../random/random.js';
import {createFakeTimers} from '../time/fakes/fake-timers.js';
import {createTestProcess} from './fakes/test-process.js';
import type {Ask, CreditEntry} from './messages.js';
import {createNodeQuotas} from './node-quotas.js';
import type {QuotaDecision} from './quotas.js';

const quota = {rate: 10, burst: 5};

function configurationOf(quotas: Readonly<Record<string, Quota>>) {
  const workspaces = new Map(
    Object.entries(quotas).map(([name, each]) => [
      name,
      {name, keys: [], quota: each},
    ]),
  );
  return {...emptyConfiguration, workspaces};
}

function createNode(
  quotas: Readonly<Record<string, Quota>> = {millers: quota},
) {
  const timers = createFakeTimers();
  const process = createTestProcess('node-1', timers);
  const {log, lines, messages} = createRecordedLog();
  const left: string[] = [];
  const node = createNodeQuotas({
    timers: process.timers,
    random: createRandom(1),
    log,
    metrics: createNoMetrics(),
    bounds: {window: 5_000},
    leaveHome: reason => left.push(reason),
  });
  node.update(configurationOf(quotas));

  /** Attaches a home that the test plays. */
  function attach(isReady = true) {
    const asks: Ask[] = [];
    let receive: (body: unknown) => void = () => {};
    let close = () => {};
    node.attach({
      link: {peer: 'home'},
      on: () => ({
        send: (body: unknown) => asks.push(body as Ask),
        onMessage: (observe: typeof receive) => void (receive = observe),
      }),
      onClose: (observe: typeof close) => void (close = observe),
    } as unknown as Channels);
    if (isReady) receive({kind: 'ready', name: 'home-1'});
    const credit = (parts: Partial<CreditEntry>, sequence?: number) =>
      receive({
        kind: 'credits',
        sequence: sequence ?? asks.at(-1)!.sequence,
        entries: [
          {workspace: 'millers', granted: 0, ahead: 0, refused: 0, ...parts},
        ],
      });
    return {asks, credit, receive, close: () => close()};
  }

  const take = (wait = 100) => node.take('millers', timers.now() + wait);
  return {timers, process, node, attach, take, lines, messages, left};
}

function reasonOf(decision: QuotaDecision): string {
  return decision.kind === 'granted' ? 'granted' : decision.reason;
}

test('requests without a credit are gathered into one question', async t => {
  const {timers, attach, take} = createNode();
  const home = attach();
  const decisions = [take(), take(), take()];
  timers.advance(2);
  t.is(home.asks.length, 1);
  t.is(home.asks[0]!.entries[0]!.waiting, 3);
  home.credit({granted: 2, refused: 1, retry: 200, spread: 0});
  const reasons = (await Promise.all(decisions)).map(reasonOf);
  t.deepEqual(reasons, ['granted', 'granted', 'exceeded']);
});

// Else a slow home gets more questions the longer it takes to answer them.
test('a node has one question under way at a time', async t => {
  const {timers, attach, take} = createNode();
  const home = attach();
  const first = take(200);
  timers.advance(2);
  const brief = take(20);
  const second = take(200);
  timers.advance(50);
  t.is(home.asks.length, 1);
  home.credit({granted: 1});
  t.is(home.asks.length, 2);
  t.is(home.asks[1]!.entries[0]!.waiting, 1, 'without the one that has left');
  home.credit({granted: 1});
  const reasons = (await Promise.all([first, brief, second])).map(reasonOf);
  t.deepEqual(reasons, ['granted', 'unknown', 'granted']);
});

test('a question without an answer ends with the time of its credits', t => {
  const {timers, attach, take} = createNode();
  const home = attach();
  void take(200);
  timers.advance(2);
  void take(400);
  timers.advance(249);
  t.is(home.asks.length, 1);
  timers.advance(1);
  t.is(home.asks.length, 2);
});

test('a node refuses without a message until credits are expected', async t => {
  const {timers, attach, take} = createNode();
  const home = attach();
  const first = take();
  timers.advance(2);
  home.credit({refused: 1, retry: 200, spread: 1_000});
  await first;
  const refusals = Array.from({length: 50}, () => take());
  t.true(refusals.every(each => !(each instanceof Promise)));
  const waits = (refusals as QuotaDecision[]).map(each =>
    each.kind === 'refused' ? each.retryAfter : 0,
  );
  t.true(Math.min(...waits) >= 0.2 && Math.max(...waits) <= 1.2);
  t.true(new Set(waits).size > 30);
  timers.advance(150);
  t.is(home.asks.length, 1);
  timers.advance(100);
  t.true(take() instanceof Promise);
});

test('held credits are used at once and reported', async t => {
  const {timers, attach, take} = createNode();
  const home = attach();
  const first = take();
  timers.advance(2);
  home.credit({granted: 1, ahead: 2});
  await first;
  t.is(reasonOf(take() as QuotaDecision), 'granted');
  t.is(reasonOf(take() as QuotaDecision), 'granted');
  t.true(take() instanceof Promise);
  timers.advance(2);
  t.is(home.asks.at(-1)!.entries[0]!.spent, 2);
});

test('a credit is given back once', t => {
  const {timers, attach, take} = createNode();
  const home = attach();
  void take();
  timers.advance(2);
  home.credit({granted: 1, ahead: 1});
  const decision = take() as QuotaDecision;
  if (decision.kind !== 'granted') return t.fail();
  decision.credit.giveBack();
  decision.credit.giveBack();
  timers.advance(300);
  t.is(home.asks.at(-1)!.entries[0]!.returned, 1);
});

test('a node without a home uses what it holds for one window', async t => {
  const {timers, attach, take} = createNode();
  const home = attach();
  void take();
  timers.advance(2);
  home.credit({granted: 1, ahead: 2});
  home.close();
  timers.advance(4_000);
  t.is(reasonOf(take() as QuotaDecision), 'granted');
  timers.advance(1_100);
  t.is(reasonOf(take() as QuotaDecision), 'unknown');
});

// Guards against credits that were counted as lost while the VM was suspended.
test('held credits expire while the VM is suspended', t => {
  const {timers, process, attach, take} = createNode();
  const home = attach();
  void take();
  timers.advance(2);
  home.credit({granted: 1, ahead: 2});
  process.suspend();
  timers.advance(6_000);
  process.resume();
  t.true(take() instanceof Promise);
});

// Guards against credits that are used long after they were issued.
test('credits that arrive late are not used but returned', async t => {
  const {timers, attach, take} = createNode();
  const home = attach();
  void take();
  timers.advance(2);
  timers.advance(300);
  const next = take();
  home.credit({granted: 1}, 1);
  timers.advance(101);
  t.is(reasonOf(await next), 'unknown');
  timers.advance(200);
  const returned = home.asks.flatMap(({entries}) =>
    entries.map(entry => entry.returned ?? 0),
  );
  t.is(Math.max(...returned), 1);
});

test('a request waits no longer than it may', async t => {
  const {timers, attach, take} = createNode();
  attach();
  const decision = take(30);
  timers.advance(31);
  t.is(reasonOf(await decision), 'unknown');
});

test('a credit for a request that does not wait any more is returned', async t => {
  const {timers, attach, take} = createNode();
  const home = attach();
  const decision = take(30);
  timers.advance(31);
  t.is(reasonOf(await decision), 'unknown');
  home.credit({granted: 1});
  timers.advance(300);
  t.is(home.asks.at(-1)!.entries[0]!.returned, 1);
});

test('a home that does not speak the plane is left, with pauses', t => {
  const {timers, attach, take, left} = createNode();
  const home = attach(false);
  t.is(reasonOf(take() as QuotaDecision), 'unknown');
  timers.advance(2_100);
  t.is(left.length, 1);
  home.close();
  attach(false);
  timers.advance(5_000);
  t.is(left.length, 1);
  timers.advance(6_000);
  t.is(left.length, 2);
  t.is(home.asks.length, 0);
});

test('a node without quotas sends nothing and sets no timer', t => {
  const {timers, node, attach, left} = createNode({});
  const home = attach(false);
  const decision = node.take('millers', 100) as QuotaDecision;
  t.is(reasonOf(decision), 'granted');
  timers.advance(20_000);
  t.is(home.asks.length + left.length, 0);
});

test('a lowered limit lowers what the node holds', t => {
  const {timers, node, attach, take} = createNode();
  const home = attach();
  void take();
  timers.advance(2);
  home.credit({granted: 1, ahead: 4});
  node.update(configurationOf({millers: {rate: 2.5, burst: 1}}));
  t.is(reasonOf(take() as QuotaDecision), 'granted');
  t.true(take() instanceof Promise);
});

test('malformed messages of a home are logged and ignored', t => {
  const {attach, messages} = createNode();
  attach().receive({kind: 'credits', sequence: -1, entries: []});
  t.deepEqual(messages(), ['quota message refused']);
});

test('log lines of refusals are bounded', async t => {
  const {timers, attach, take, messages} = createNode();
  const home = attach();
  const first = take();
  timers.advance(2);
  home.credit({refused: 1, retry: 200, spread: 1_000});
  await first;
  for (let request = 0; request < 500; request++) void take();
  t.true(messages().length <= 11);
});

test('the line of a second tells why requests got no credit', async t => {
  const {timers, attach, take, lines} = createNode();
  await take();
  const home = attach();
  const unanswered = take(60);
  timers.advance(60);
  home.credit({ahead: 1});
  await unanswered;
  await take();
  const exceeded = take();
  timers.advance(2);
  home.credit({refused: 1, retry: 200});
  await exceeded;
  await take();
  timers.advance(1_000);
  const fields = lines
    .filter(({message}) => message === 'quota usage')
    .map(line => line.fields);
  t.deepEqual(fields, [
    {home: 'none', period: 1_000, requests: 1, homeless: 1},
    {
      home: 'home',
      period: 1_000,
      requests: 4,
      unanswered: 1,
      unansweredTime: 60,
      held: 1,
      exceeded: 1,
      exceededTime: 2,
      blocked: 1,
    },
  ]);
});
