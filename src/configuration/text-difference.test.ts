import test from 'ava';
import {createRandom} from '../random/random.js';
import {applyDifference, differenceOf} from './text-difference.js';

/** The text of a revision with `count` routes. */
function textOf(count: number, change = ''): string {
  const routes = Array.from({length: count}, (_, index) => {
    const prefix = index === count - 1 ? `/last${change}/` : `/r${index}/`;
    return `"r${index}":{"prefix":"${prefix}","service":"desk"}`;
  });
  return `{"base":1,"routes":{${routes.join(',')}},"version":2}`;
}

test('applying a difference to the base gives the text', t => {
  const random = createRandom(7);
  const words = ['{"a":1}', '{"b":2}', ',', '\n', 'text', '}', ''];
  const drawText = () =>
    Array.from({length: random.integer(12)}, () => random.pick(words)).join('');
  for (let round = 0; round < 2_000; round++) {
    const base = drawText();
    const text = drawText();
    t.is(applyDifference(base, differenceOf(base, text)), text);
  }
});

test('the difference for one of many routes is small', t => {
  const difference = differenceOf(textOf(1_000), textOf(1_000, '-moved'));
  t.true(JSON.stringify(difference).length < 200);
});

test('the difference of unrelated texts is the new text', t => {
  t.deepEqual(differenceOf('abc', 'xyz'), ['xyz']);
  t.deepEqual(differenceOf('', 'xyz'), ['xyz']);
});
