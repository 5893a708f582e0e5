import {readFileSync} from 'node:fs';
import test from 'ava';
import {createLoggedMachine} from '../configuration/fakes/sample.js';
import {parseEdits} from '../language/parse.js';

function editsOf(file: string) {
  const parsed = parseEdits(readFileSync(`examples/${file}`, 'utf8'));
  if (!parsed.ok) throw new Error(`${file}: ${parsed.problem.message}`);
  return parsed.value;
}

// Guards against a walk-through whose files are refused.
test('the files of the example deployments are accepted', t => {
  const {edit, machine} = createLoggedMachine();
  t.is(edit(editsOf('agency/setup.fox')).code, 1000);
  t.is(machine.current().workspaces.size, 0);
  t.is(edit(editsOf('agency/workspaces.fox')).code, 1000);
  const {workspaces, routes} = machine.current();
  t.deepEqual([...workspaces.keys()], ['inspectors', 'archive']);
  const keyed = [...routes.values()].filter(({access}) => access === 'keyed');
  t.deepEqual(
    keyed.map(({name}) => name),
    ['licences'],
  );
  const qurm = createLoggedMachine();
  t.is(qurm.edit(editsOf('qurm/setup.fox')).code, 1000);
});
