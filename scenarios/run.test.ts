import test from 'ava';
import {parseScenarios} from './run.js';
import {createSteps} from './step.js';

const {all, action, check} = createSteps<string[]>();
action('{word} waits {number} ms', (world, name, duration) => {
  world.push(`${name} ${duration + 1}`);
});
check('{word} is there', (world, name) => {
  if (!world.includes(name)) throw new Error(`${name} is not there`);
});

const parse = (...lines: string[]) =>
  parseScenarios('x.feature', ['Feature: f', ...lines].join('\n'), all);

test('steps run in order with their typed arguments', async t => {
  const world = ['amina'];
  const [scenario] = parse(
    'Scenario: s',
    'When amina waits 20 ms',
    'Then amina is there',
  );
  await scenario!.run(world);
  t.deepEqual(world, ['amina', 'amina 21']);
  t.is(scenario!.name, 'f: s');
});

test('a failed check names its step', async t => {
  const [scenario] = parse('Scenario: s', 'Then bolat is there');
  await t.throwsAsync(scenario!.run([]), {
    message: 'at "bolat is there": bolat is not there',
  });
});

test('an unknown step or a step under the wrong keyword is an error', t => {
  const then = 'Then amina is there';
  t.throws(() => parse('Scenario: s', 'When amina sleeps', then), {
    message: /unknown action "amina sleeps"/,
  });
  t.throws(() => parse('Scenario: s', 'When amina is there', then), {
    message: /unknown action/,
  });
  t.throws(() => parse('Scenario: s', 'Then amina waits 5 ms'), {
    message: /unknown check/,
  });
});

test('a scenario without a Then step is an error', t => {
  t.throws(() => parse('Scenario: s', 'When amina waits 5 ms'), {
    message: /no Then/,
  });
  t.throws(() => parse('Scenario: s'), {message: /no Then/});
  t.throws(() => parse(), {message: /no scenario/});
});

test('a table or a column that no step uses is an error', t => {
  t.throws(
    () => parse('Scenario: s', 'Then amina is there', '  | a | table |'),
    {message: /no step takes the table/},
  );
  const outline = ['Scenario Outline: s', 'Then <name> is there', 'Examples:'];
  t.throws(() => parse(...outline, '| name | age |', '| amina | 5 |'), {
    message: /uses age/,
  });
});
