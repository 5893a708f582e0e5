import test from 'ava';
import type {Member, Status} from '../consensus/consensus.js';
import {createRandom} from '../random/random.js';
import {createMemberDirectory} from './member-directory.js';

const founder = (number: number) => ({
  name: `control-${number}`,
  peerAddress: `10.0.0.${number}:7000`,
  operatorAddress: `10.0.0.${number}:7001`,
  distributionAddress: `10.0.0.${number}:7002`,
  failureDomain: 'hall-a',
});

const founders = [1, 2, 3].map(founder);

const old = (number: number): Member => ({
  name: `control-${number}`,
  address: `10.0.0.${number}:7000`,
  failureDomain: 'hall-a',
});

function stage() {
  let voters: Member[] = [];
  let told: Member[] = [];
  const observers: Array<() => void> = [];
  const directory = createMemberDirectory(
    {
      status: () => ({voters, learners: [], told}) as unknown as Status,
      onMembersChange: observe => void observers.push(observe),
    },
    founders,
    'control-9',
    createRandom(1),
  );
  let changes = 0;
  directory.onChange(() => changes++);
  return {
    directory,
    changes: () => changes,
    become(next: Member[]) {
      voters = next;
      for (const observe of observers) observe();
    },
    tell(next: Member[]) {
      told = next;
      for (const observe of observers) observe();
    },
  };
}

test('before the group is formed the settings count', t => {
  const {directory} = stage();
  t.deepEqual(
    directory.peerAddresses(),
    founders.map(one => one.distributionAddress),
  );
  t.is(directory.operatorAddress('control-2'), '10.0.0.2:7001');
  t.deepEqual(directory.homes(), []);
});

test('a member of a group formed by older code is known by settings', t => {
  const {directory, become} = stage();
  become([1, 2, 3].map(old));
  t.is(directory.operatorAddress('control-3'), '10.0.0.3:7001');
  t.is(directory.peerAddresses().length, 3);
});

test('a member that replaced another is known by what it told', t => {
  const {directory, become, changes} = stage();
  become([1, 2, 3].map(old));
  const joined = {
    ...old(4),
    operatorAddress: '10.0.0.4:7001',
    distributionAddress: '10.0.0.4:7002',
  };
  become([old(2), old(3), joined]);
  t.is(directory.operatorAddress('control-4'), '10.0.0.4:7001');
  const addresses = ['10.0.0.2:7002', '10.0.0.3:7002', '10.0.0.4:7002'];
  t.deepEqual(directory.peerAddresses(), addresses);
  t.deepEqual(
    directory.homes().map(({address}) => address),
    addresses,
  );
  t.is(changes(), 2);
});

test('what a member tells of itself goes before the settings', t => {
  const {directory, become} = stage();
  become([{...old(1), operatorAddress: '10.0.0.9:7001'}]);
  t.is(directory.operatorAddress('control-1'), '10.0.0.9:7001');
});

test('news without a change are not passed on', t => {
  const {directory, become, changes} = stage();
  become([1, 2, 3].map(old));
  const homes = directory.homes();
  become([1, 2, 3].map(old));
  t.is(changes(), 1);
  t.is(directory.homes(), homes);
});

// Four control processes run and three form the group. Operators that ask the
// fourth were told that nobody is known, or kept waiting for a majority that it
// is no part of; each such call cost them a second and more.
test('a process outside the group names a member, a member names none', t => {
  const {directory, become} = stage();
  const addresses = founders.map(one => one.operatorAddress);
  t.true(addresses.includes(directory.memberAddress()!));
  become([old(2)]);
  t.is(directory.memberAddress(), '10.0.0.2:7001');
  become([old(2), {...old(9), name: 'control-9'}]);
  t.is(directory.memberAddress(), undefined);
});

test('a process that is its only founder names nobody before it has formed', t => {
  const directory = createMemberDirectory(
    {
      status: () => ({voters: [], learners: [], told: []}) as unknown as Status,
      onMembersChange: () => {},
    },
    [founder(1)],
    'control-1',
    createRandom(1),
  );
  t.is(directory.memberAddress(), undefined);
});

// Nodes refuse all callers after a restart. The control VMs that settings name
// were exchanged for others, which run beside the group and are no members: a
// node went from one to the next, none of them could prove a configuration, and
// none said who can.
test('a process outside the group tells nodes and operators of its members', t => {
  const {directory, tell, changes} = stage();
  const member = (number: number): Member => ({
    ...old(number),
    operatorAddress: `10.0.0.${number}:7001`,
    distributionAddress: `10.0.0.${number}:7002`,
  });
  tell([4, 5].map(member));
  t.deepEqual(
    directory.homes().map(({address}) => address),
    ['10.0.0.4:7002', '10.0.0.5:7002'],
  );
  t.deepEqual(
    directory.peerAddresses(),
    founders.map(one => one.distributionAddress),
  );
  t.true(/^10\.0\.0\.[45]:7001$/.test(directory.memberAddress() ?? ''));
  t.is(changes(), 1);
});
