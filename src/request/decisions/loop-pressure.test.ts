import test from 'ava';
import {loopLoad, refusalByLoop} from './loop-pressure.js';

const delayOf = (mean: number) => ({current: () => mean, mean: () => mean});
const half = () => 0.5;

// Guards against nodes that keep each other out by the short delays that are
// normal on small VMs.
test('a loop that is hardly late adds no load', t => {
  t.is(loopLoad(delayOf(0)), 0);
  t.is(loopLoad(delayOf(24)), 0);
  t.is(loopLoad(delayOf(25)), 1);
  t.is(loopLoad(delayOf(50)), 2);
});

test('only the lowest priority is refused, in good time and spread over callers', t => {
  const short = delayOf(30);
  const work = {priority: 'background', objective: 100} as const;
  t.is(refusalByLoop({...work, priority: 'critical'}, short, half), undefined);
  t.is(refusalByLoop({...work, priority: 'normal'}, short, half), undefined);
  const early = refusalByLoop(work, short, () => 0);
  const late = refusalByLoop(work, short, () => 0.99);
  t.is(early?.code.effect, 'not-run');
  t.true(late!.retryAfter > early!.retryAfter + 0.2);
});

test('work with time to spare is taken', t => {
  const work = {priority: 'background', objective: 5_000} as const;
  t.is(refusalByLoop(work, delayOf(30), half), undefined);
  t.is(refusalByLoop({...work, objective: 100}, delayOf(5), half), undefined);
});
