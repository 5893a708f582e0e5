import test from 'ava';
import {createKnownHomes} from './known-homes.js';

const self = {name: 'node-1', failureDomain: 'a', region: 'r'};
const addressesOf = (homes: ReadonlyArray<{readonly address: string}>) =>
  homes.map(({address}) => address);

// Guards against nodes that stay at homes in other failure domains because
// their settings name homes without failure domains.
test('a learned failure domain puts the near homes first, also unconfigured ones', t => {
  const homes = createKnownHomes(self, [{address: 'x:1'}, {address: 'y:1'}]);
  homes.learn([
    {address: 'x:1', failureDomain: 'b'},
    {address: 'y:1', failureDomain: 'c'},
    {address: 'z:1', failureDomain: 'a'},
  ]);
  t.is(addressesOf(homes.list())[0], 'z:1');
  t.is(homes.list().length, 3);
  homes.learn([{address: 'y:1', failureDomain: 'a'}]);
  t.deepEqual(addressesOf(homes.list()), ['y:1', 'x:1']);
});

test('a configured home of an unknown failure domain stays before learned ones', t => {
  const homes = createKnownHomes(self, [{address: 'x:1'}]);
  homes.learn([{address: 'z:1', failureDomain: 'a'}]);
  t.deepEqual(addressesOf(homes.list()), ['x:1', 'z:1']);
});

// One home of several would have all processes, and too little time for them.
test('processes spread over all homes of their failure domain', t => {
  const firsts = new Map<string, number>();
  for (let index = 0; index < 200; index++) {
    const name = `node-${index}`;
    const homes = createKnownHomes({...self, name}, [{address: 'x:1'}]);
    homes.learn([
      {address: 'x:1', failureDomain: 'a', region: 'r'},
      {address: 'y:1', failureDomain: 'a', region: 'r'},
      {address: 'z:1', failureDomain: 'b', region: 'r'},
    ]);
    const [first] = addressesOf(homes.list());
    firsts.set(first!, (firsts.get(first!) ?? 0) + 1);
  }
  t.deepEqual([...firsts.keys()].sort(), ['x:1', 'y:1']);
  for (const count of firsts.values()) t.true(count >= 80, `${count}`);
});
