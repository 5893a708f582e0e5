import test from 'ava';
import {createRandom} from '../random/random.js';
import {applyDifference, differenceOf} from './text-difference.js';

/** A revision of `count` routes as an operator would write it. */
function textOf(count: number, change = ''): string {
  const routes = Array.from({length: count}, (_, at) => {
    const prefix = at === count - 1 ? `/last${change}/` : `/r${at}/`;
    return `"r${at}":{"prefix":"${prefix}","service":"desk"}`;
  });
  return `{"base":1,"routes":{${routes.join(',')}},"version":2}`;
}

test('a text is made again of its base and the difference', t => {
  const random = createRandom(7);
  const words = ['{"a":1}', '{"b":2}', ',', '\n', 'text', '}', ''];
  const draw = () =>
    Array.from({length: random.integer(12)}, () => random.pick(words)).join('');
  for (let turn = 0; turn < 2_000; turn++) {
    const base = draw();
    const text = draw();
    t.is(applyDifference(base, differenceOf(base, text)), text);
  }
});

test('the difference of one route among many holds little but that route', t => {
  const difference = differenceOf(textOf(1_000), textOf(1_000, '-moved'));
  t.true(JSON.stringify(difference).length < 200);
});

test('a text without anything in common is a difference of its own', t => {
  t.deepEqual(differenceOf('abc', 'xyz'), ['xyz']);
  t.deepEqual(differenceOf('', 'xyz'), ['xyz']);
});
