import test from 'ava';
import {checkLimits} from '../operator/limits.js';
import {defaults} from '../settings/defaults.js';
import {keeperAssignerName} from './system-name.js';
import {configurationCodes} from './codes.js';
import type {Service} from './configuration.js';
import {decodeAnswer} from './log-entry.js';
import {
  createLoggedMachine,
  createSampleMachine,
  putService,
} from './fakes/sample.js';

const keepers = {
  epoch: 2,
  members: [
    {instance: 's1', incarnation: 1, address: 's1:1', failureDomain: 'seeb-c'},
  ],
};

function putKeepers(value: Service) {
  return {action: 'put', item: {kind: 'service', value}} as const;
}

test('keepers are set by the system and unchanged by operators', t => {
  const sample = createLoggedMachine();
  const current = () => sample.machine.current().services.get('stock-desk');
  sample.edit([putService('stock-desk')]);
  const value = {name: 'stock-desk', slowStart: 0, keepers};
  sample.edit([putKeepers(value)], keeperAssignerName('control-1'));
  t.deepEqual(current()!.keepers, keepers);
  sample.edit([putService('stock-desk', 500)]);
  t.deepEqual(current(), {...value, slowStart: 500});
});

// Failure: a second booking for one key. An operator's client puts a service
// with other keepers, which do not have its claims.
test('an operator can neither set keepers nor use a name of the system', t => {
  const sample = createLoggedMachine();
  sample.edit([putKeepers({name: 'stock-desk', slowStart: 0, keepers})]);
  const put = sample.machine.current().services.get('stock-desk');
  t.is(put!.keepers, undefined);
  const command = {operator: keeperAssignerName('x'), sequence: 1, edits: []};
  const checked = checkLimits(command, defaults.limits, 0);
  t.is(checked.ok ? 0 : checked.code, configurationCodes.operatorReserved);
});

// Failure: an operator gets a conflict although no other operator changed
// anything. The operator reads the version, the system assigns keepers, and the
// operator's change expects the version that was read. Only changes by
// operators conflict, also after a snapshot.
test('an assignment of keepers is no conflict for an operator', t => {
  const sample = createLoggedMachine();
  const first = sample.edit([putService('stock-desk')]);
  const value = {name: 'stock-desk', slowStart: 0, keepers};
  sample.edit([putKeepers(value)], keeperAssignerName('control-1'));
  const restored = createSampleMachine();
  restored.restore(sample.machine.appliedIndex(), sample.machine.snapshot());
  const expectedVersion = first.version;
  const edits = [putService('stock-desk', 500)];
  const answers = ['amina', 'daulet'].map((operator, at) => {
    const command = {operator, sequence: 9, expectedVersion, edits};
    const bytes = restored.apply(10 + at, restored.prepare(command, 0));
    return decodeAnswer(bytes);
  });
  t.is(answers[0]!.code, 1000);
  t.is(answers[1]!.code, configurationCodes.conflict.number);
  t.is(answers[1]!.version, answers[0]!.version);
  const ahead = {operator: 'amina', sequence: 10, expectedVersion: 99, edits};
  const refused = restored.apply(12, restored.prepare(ahead, 0));
  t.is(decodeAnswer(refused).code, configurationCodes.conflict.number);
});
