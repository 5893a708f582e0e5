import test from 'ava';
import {createFairQueue} from './fair-queue.js';
import type {Order} from './fair-queue.js';

interface QueuedCall {
  readonly name: string;
  readonly workspace?: string | undefined;
  readonly work: number;
}

function setUp(order: Order = 'fifo') {
  const queue = createFairQueue<QueuedCall>({
    order,
    flowOf: call => call.workspace,
    cost: call => call.work,
  });
  const add = (name: string, workspace?: string, work = 1) => {
    const call = {name, workspace, work};
    queue.add(call);
    return call;
  };
  const startNext = () => {
    const call = queue.take();
    if (call !== undefined) queue.started(call);
    return call?.name;
  };
  const startAll = () => {
    const names: string[] = [];
    for (let name = startNext(); name; name = startNext()) names.push(name);
    return names;
  };
  return {queue, add, startNext, startAll};
}

for (const order of ['fifo', 'lifo'] as const) {
  test(`calls without a workspace keep the order ${order}`, t => {
    const {add, startAll} = setUp(order);
    for (const name of ['a', 'b', 'c']) add(name, undefined, name.length * 5);
    const expected = ['a', 'b', 'c'];
    t.deepEqual(startAll(), order === 'fifo' ? expected : expected.reverse());
  });
}

test('the queue of one workspace doesn’t delay the call of another', t => {
  const {queue, add, startAll} = setUp();
  for (const name of ['a1', 'a2', 'a3']) add(name, 'a');
  t.is(queue.ahead('b'), 1);
  t.is(queue.ahead('a'), 3);
  add('b1', 'b');
  add('none', undefined);
  t.deepEqual(startAll(), ['a1', 'b1', 'none', 'a2', 'a3']);
});

test('`ahead` is the number of calls that start before a new one', t => {
  const {queue, add, startNext} = setUp();
  for (const name of ['a1', 'a2', 'a3']) add(name, 'a', 2);
  startNext();
  for (const name of ['b1', 'b2', 'b3']) add(name, 'b', 1);
  const ahead = queue.ahead('b');
  add('b4', 'b', 1);
  let started = 0;
  while (startNext() !== 'b4') started++;
  t.is(started, ahead);
});

test('shares are shares of work', t => {
  const {add, startNext} = setUp();
  for (let count = 0; count < 40; count++) {
    add('long', 'a', 4);
    add('short', 'b', 1);
  }
  let long = 0;
  for (let count = 0; count < 40; count++) if (startNext() === 'long') long++;
  t.true(long >= 7 && long <= 9, `${long} long calls started`);
});

test('a workspace that was idle has saved up no credit', t => {
  const {add, startNext} = setUp();
  for (let count = 0; count < 100; count++) {
    add('a', 'a');
    startNext();
  }
  for (let count = 0; count < 20; count++) {
    add('a', 'a');
    add('b', 'b');
  }
  let idle = 0;
  for (let count = 0; count < 20; count++) if (startNext() === 'b') idle++;
  t.true(idle >= 10 && idle <= 11, `${idle} calls of the idle one started`);
});

test('running calls count: the next ones are behind those of others', t => {
  const {queue, add, startAll} = setUp();
  for (let count = 0; count < 6; count++) {
    queue.started({name: 'running', workspace: 'a', work: 1});
  }
  add('a', 'a');
  add('b', 'b');
  t.is(queue.ahead('c'), 1);
  t.deepEqual(startAll(), ['b', 'a']);
});

test('a call that is removed costs its workspace nothing', t => {
  const {queue, add, startAll} = setUp();
  const left = add('a1', 'a', 10);
  add('b1', 'b');
  add('a2', 'a');
  t.true(queue.remove(left));
  t.false(queue.remove(left));
  add('b2', 'b');
  add('a3', 'a');
  t.deepEqual(startAll(), ['b1', 'a2', 'b2', 'a3']);
});

test('a refused call delays none of its workspace', t => {
  const {queue, add} = setUp();
  add('a1', 'a', 10);
  add('a2', 'a');
  add('b1', 'b');
  const order: string[] = [];
  queue.retain(({name}) => {
    order.push(name);
    return name !== 'a1';
  });
  // With `a1` kept, `b1` would be before `a2`.
  t.deepEqual(order, ['a1', 'a2', 'b1']);
  t.is(queue.length, 2);
});

test('the last call of the workspace with the most waiting work is dropped', t => {
  const {queue, add} = setUp();
  for (const name of ['a1', 'a2', 'a3']) add(name, 'a');
  add('b1', 'b', 4);
  t.deepEqual(queue.largest(), {workspace: 'b', work: 4});
  add('a4', 'a', 2);
  t.deepEqual(queue.largest(), {workspace: 'a', work: 5});
  t.is(queue.removeLast('a')!.name, 'a4');
});

test('the state of idle workspaces is dropped', t => {
  const {queue, add, startNext} = setUp();
  for (let count = 0; count < 1_000; count++) {
    add('once', `workspace ${count}`);
    add('always', 'always');
    startNext();
    startNext();
  }
  t.true(queue.workspaces < 50, `${queue.workspaces} workspaces`);
  queue.forgetIdle();
  t.is(queue.workspaces, 0);
});
