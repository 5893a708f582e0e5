import test from 'ava';
import {rankHomes} from './rendezvous.js';
import type {HomeAddress} from '../fleet/messages.js';

const homes: HomeAddress[] = [];
for (const failureDomain of ['a', 'b', 'c']) {
  for (let relay = 0; relay < 4; relay++) {
    const region = failureDomain === 'c' ? 'south' : 'north';
    const address = `${failureDomain}:${relay}`;
    homes.push({address, failureDomain, region});
  }
}

const rank = (name: string, from = homes) =>
  rankHomes({name, failureDomain: 'a', region: 'north'}, from);

test('homes of the same failure domain come first, then those of the region, then the others', t => {
  const order = rank('node-1').map(home => home.failureDomain);
  const expected = ['a', 'b', 'c'].flatMap(name => Array(4).fill(name));
  t.deepEqual(order, expected);
});

test('the nodes of a lost home spread over the others and no other node moves', t => {
  const rest = homes.filter(home => home.address !== 'a:0');
  const moved = new Map<string, number>();
  for (let node = 0; node < 1000; node++) {
    const before = rank(`node-${node}`)[0]!.address;
    const after = rank(`node-${node}`, rest)[0]!.address;
    if (before === 'a:0') moved.set(after, (moved.get(after) ?? 0) + 1);
    else t.is(after, before);
  }
  t.is(moved.size, 3);
  const counts = [...moved.values()];
  t.true(Math.max(...counts) < 2 * Math.min(...counts));
});
