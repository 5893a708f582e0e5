import test from 'ava';
import type {Priority} from '../../configuration/configuration.js';
import {createFakeTimers} from '../../time/fakes/fake-timers.js';
import {watchLoopDelay} from '../../time/loop-delay.js';
import {createBusyProcessor} from '../fakes/busy-processor.js';
import {createLoadShedding} from './load-shedding.js';

/** Milliseconds of processor time to serve a request, and to refuse it. */
const servedCost = 5;
const refusedCost = 0.5;
const objective = 100;

interface Tally {
  asked: number;
  good: number;
  late: number;
  refused: number;
}

type Offered = Partial<Record<Priority, number>>;

/** Offers so many requests a second of each priority; tells what became of them. */
function play(offered: Offered, sheds = true) {
  const world = createFakeTimers();
  const {timers, run} = createBusyProcessor(world);
  const loopDelay = watchLoopDelay({timers});
  const shedding = createLoadShedding({loopDelay, timers});
  const tallies: Partial<Record<Priority, Tally>> = {};
  let isCounted = false;

  function ask(priority: Priority, tally: Tally): void {
    const cameAt = world.now();
    const counts = isCounted;
    if (counts) tally.asked++;
    run(refusedCost, () => {
      if (sheds && shedding.refuses(priority)) {
        if (counts) tally.refused++;
        return;
      }
      run(servedCost - refusedCost, () => {
        if (!counts) return;
        if (world.now() - cameAt <= objective) tally.good++;
        else tally.late++;
      });
    });
  }

  for (const [name, rate] of Object.entries(offered)) {
    const priority = name as Priority;
    const tally = {asked: 0, good: 0, late: 0, refused: 0};
    tallies[priority] = tally;
    world.every(1000 / rate, () => ask(priority, tally));
  }
  world.advance(5_000);
  isCounted = true;
  world.advance(20_000);
  return {tallies, refuses: shedding.refuses};
}

/** Share of the requests that were answered in time. */
function goodShare({asked, good}: Tally): number {
  return good / asked;
}

test('a process that keeps up refuses nothing', t => {
  const {tallies} = play({background: 90, normal: 50});
  for (const tally of Object.values(tallies)) {
    t.is(tally.refused, 0);
    t.is(tally.late, 0);
  }
});

test('without shedding a process that is short answers nobody in time', t => {
  const {tallies} = play({background: 200, normal: 100}, false);
  t.true(goodShare(tallies.background!) < 0.05);
  t.true(goodShare(tallies.normal!) < 0.05);
});

test('a process that is short serves what it can, in time, highest first', t => {
  const {tallies} = play({background: 200, normal: 100});
  const {background, normal} = tallies;
  t.is(normal!.refused, 0);
  t.true(goodShare(normal!) > 0.97, JSON.stringify(normal));
  t.true(goodShare(background!) > 0.25, JSON.stringify(background));
  t.true(background!.late < background!.asked * 0.03);
});

test('the next rank loses only when the lowest is nearly all refused', t => {
  const {tallies} = play({background: 100, normal: 400, critical: 20});
  const {background, normal, critical} = tallies;
  t.true(background!.refused > background!.asked * 0.8);
  t.true(normal!.refused > 0);
  t.is(critical!.refused, 0);
  t.true(goodShare(critical!) > 0.95, JSON.stringify(critical));
  t.true(goodShare(normal!) > 0.2, JSON.stringify(normal));
});
