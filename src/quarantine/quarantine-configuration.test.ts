import test from 'ava';
import {configurationCodes} from '../configuration/codes.js';
import type {Quarantine} from '../configuration/configuration.js';
import {
  createLoggedMachine,
  createSampleMachine,
  putService,
} from '../configuration/fakes/sample.js';
import {quarantineControllerName} from '../configuration/system-name.js';
import {checkLimits} from '../operator/limits.js';
import {defaults} from '../settings/defaults.js';

const quarantine: Quarantine = {
  name: 'a'.repeat(32),
  service: 'stock-desk',
  head: 'b'.repeat(32),
  request: 'GET /stock/7',
  state: 'held',
  since: 1,
  ended: ['s-1/1', 's-2/1', 's-3/1'],
  trials: 0,
};

const put = {
  action: 'put',
  item: {kind: 'quarantine', value: quarantine},
} as const;

function createSampleWithQuarantine() {
  const sample = createLoggedMachine();
  const {version} = sample.edit([putService('stock-desk')]);
  sample.edit([put], quarantineControllerName('control-1'));
  return {sample, version};
}

test('a quarantine survives a replacement of the configuration and a snapshot', t => {
  const {sample} = createSampleWithQuarantine();
  const {machine} = sample;
  const item = {
    kind: 'service',
    value: {name: 'stock-desk', slowStart: 5},
  } as const;
  const replacement = {revision: 1, base: 0, items: [item], document: '{}'};
  machine.apply(3, machine.prepareReplacement(replacement, 1));
  const restored = createSampleMachine();
  restored.restore(3, machine.snapshot());
  t.deepEqual(restored.current().quarantines.get(quarantine.name), quarantine);
  t.is(restored.digest(), machine.digest());
});

test('a quarantine neither conflicts with an operator change nor prevents removing its service', t => {
  const {sample, version} = createSampleWithQuarantine();
  const edits = [
    {action: 'remove', kind: 'service', name: 'stock-desk'},
  ] as const;
  const answer = sample.send({
    operator: 'amina',
    sequence: 9,
    expectedVersion: version,
    edits,
  });
  t.is(answer.code, 1000);
});

test('an operator can remove a quarantine but cannot create one', t => {
  const {sample} = createSampleWithQuarantine();
  const checked = checkLimits(
    {operator: 'amina', sequence: 1, edits: [put]},
    defaults.limits,
    0,
  );
  t.is(checked.ok ? 0 : checked.code, configurationCodes.quarantineReserved);
  const {name} = quarantine;
  sample.edit([{action: 'remove', kind: 'quarantine', name}]);
  t.is(sample.machine.current().quarantines.size, 0);
});
