import test from 'ava';
import type {ControlSettings} from '../settings/schema.js';
import {resolveFounders, resolveSelf} from './members.js';

const settings = {
  name: '10.2.0.39',
  peerAddress: '10.2.0.39:7320',
  operatorAddress: '127.0.0.1:7320',
  distributionAddress: '10.2.0.39:7335',
  failureDomain: 'hall-b',
  members: [],
  seeds: ['10.1.0.44:8164', '10.2.0.39:8164'],
} as unknown as ControlSettings;

const revisionAddress = '10.2.0.39:8164';

// Each change takes seconds until it is accepted, with all control VMs up. An
// operator asks a member that does not lead, and is sent to the leader at the
// address that the leader told: one on the leader's loopback, which leads the
// operator to its own VM, where nobody listens.
test('a member tells others no address on its loopback', t => {
  const self = resolveSelf({...settings, revisionAddress});
  t.is(self.operatorAddress, revisionAddress);
});

test('founders known by their seeds are asked at the same port', t => {
  const founders = resolveFounders({...settings, revisionAddress});
  t.deepEqual(
    founders.map(({operatorAddress}) => operatorAddress),
    ['10.1.0.44:8164', '10.2.0.39:8164'],
  );
});

test('a member without a listener for revisions tells where operators reach it', t => {
  t.is(resolveSelf(settings).operatorAddress, '127.0.0.1:7320');
  const operatorAddress = '10.2.0.39:7400';
  const self = resolveSelf({...settings, operatorAddress, revisionAddress});
  t.is(self.operatorAddress, operatorAddress);
});
