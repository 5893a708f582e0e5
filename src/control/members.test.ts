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

// Each change takes seconds until it is accepted although all control VMs are
// up. A follower redirects the operator to the address that the leader
// announced. If that is a loopback address, the operator connects to its own
// VM, where no control process listens.
test('a member announces no loopback address', t => {
  const self = resolveSelf({...settings, revisionAddress});
  t.is(self.operatorAddress, revisionAddress);
});

test('founders that are known from seeds have the same port as this process', t => {
  const founders = resolveFounders({...settings, revisionAddress});
  t.deepEqual(
    founders.map(({operatorAddress}) => operatorAddress),
    ['10.1.0.44:8164', '10.2.0.39:8164'],
  );
});

test('a member without a revision listener announces its operator address', t => {
  t.is(resolveSelf(settings).operatorAddress, '127.0.0.1:7320');
  const operatorAddress = '10.2.0.39:7400';
  const self = resolveSelf({...settings, operatorAddress, revisionAddress});
  t.is(self.operatorAddress, operatorAddress);
});
