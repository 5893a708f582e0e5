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

const memberOf = (number: number): Member => ({
  name: `control-${number}`,
  address: `10.0.0.${number}:7000`,
  failureDomain: 'hall-a',
});

function createTestDirectory() {
  let voters: Member[] = [];
  let reported: Member[] = [];
  const observers: Array<() => void> = [];
  const directory = createMemberDirectory(
    {
      status: () =>
        ({
          voters,
          learners: [],
          reportedMembers: reported,
        }) as unknown as Status,
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
    setVoters(next: Member[]) {
      voters = next;
      for (const observe of observers) observe();
    },
    report(next: Member[]) {
      reported = next;
      for (const observe of observers) observe();
    },
  };
}

test('before the group is formed the addresses come from the settings', t => {
  const {directory} = createTestDirectory();
  t.deepEqual(
    directory.peerAddresses(),
    founders.map(member => member.distributionAddress),
  );
  t.is(directory.operatorAddress('control-2'), '10.0.0.2:7001');
  t.deepEqual(directory.homes(), []);
});

test('the addresses of a member that announced none come from the settings', t => {
  const {directory, setVoters} = createTestDirectory();
  setVoters([1, 2, 3].map(memberOf));
  t.is(directory.operatorAddress('control-3'), '10.0.0.3:7001');
  t.is(directory.peerAddresses().length, 3);
});

test('the addresses of a member that replaced another are those it announced', t => {
  const {directory, setVoters, changes} = createTestDirectory();
  setVoters([1, 2, 3].map(memberOf));
  const joined = {
    ...memberOf(4),
    operatorAddress: '10.0.0.4:7001',
    distributionAddress: '10.0.0.4:7002',
  };
  setVoters([memberOf(2), memberOf(3), joined]);
  t.is(directory.operatorAddress('control-4'), '10.0.0.4:7001');
  const addresses = ['10.0.0.2:7002', '10.0.0.3:7002', '10.0.0.4:7002'];
  t.deepEqual(directory.peerAddresses(), addresses);
  t.deepEqual(
    directory.homes().map(({address}) => address),
    addresses,
  );
  t.is(changes(), 2);
});

test('announced addresses take precedence over the settings', t => {
  const {directory, setVoters} = createTestDirectory();
  setVoters([{...memberOf(1), operatorAddress: '10.0.0.9:7001'}]);
  t.is(directory.operatorAddress('control-1'), '10.0.0.9:7001');
});

test('observers are not called when nothing has changed', t => {
  const {directory, setVoters, changes} = createTestDirectory();
  setVoters([1, 2, 3].map(memberOf));
  const homes = directory.homes();
  setVoters([1, 2, 3].map(memberOf));
  t.is(changes(), 1);
  t.is(directory.homes(), homes);
});

// Four control processes run and three of them form the group. Without a
// redirect, the fourth one answers operators that no leader is known or lets
// them wait for a majority that it is not part of. Each such call takes a
// second or more.
test('a process outside the group names a member, and a member names none', t => {
  const {directory, setVoters} = createTestDirectory();
  const addresses = founders.map(member => member.operatorAddress);
  t.true(addresses.includes(directory.memberAddress()!));
  setVoters([memberOf(2)]);
  t.is(directory.memberAddress(), '10.0.0.2:7001');
  setVoters([memberOf(2), {...memberOf(9), name: 'control-9'}]);
  t.is(directory.memberAddress(), undefined);
});

test('a process that is the only founder names no member before the group is formed', t => {
  const directory = createMemberDirectory(
    {
      status: () =>
        ({voters: [], learners: [], reportedMembers: []}) as unknown as Status,
      onMembersChange: () => {},
    },
    [founder(1)],
    'control-1',
    createRandom(1),
  );
  t.is(directory.memberAddress(), undefined);
});

// Nodes refuse all callers after a restart, because the control VMs listed in
// their settings were replaced and now run processes that are not members of
// the group. None of them can confirm a configuration, and without reported
// members none can name a process that does.
test('a process outside the group names its members to nodes and operators', t => {
  const {directory, report, changes} = createTestDirectory();
  const member = (number: number): Member => ({
    ...memberOf(number),
    operatorAddress: `10.0.0.${number}:7001`,
    distributionAddress: `10.0.0.${number}:7002`,
  });
  report([4, 5].map(member));
  t.deepEqual(
    directory.homes().map(({address}) => address),
    ['10.0.0.4:7002', '10.0.0.5:7002'],
  );
  t.deepEqual(
    directory.peerAddresses(),
    founders.map(member => member.distributionAddress),
  );
  t.true(/^10\.0\.0\.[45]:7001$/.test(directory.memberAddress() ?? ''));
  t.is(changes(), 1);
});
