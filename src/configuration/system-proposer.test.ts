import test from 'ava';
import {createFakeGroup} from '../consensus/fakes/fake-consensus.js';
import {commonCodes} from '../result/codes.js';
import {createFakeTimers} from '../time/fakes/fake-timers.js';
import {createSampleMachine, putService} from './fakes/sample.js';
import {createSystemProposer} from './system-proposer.js';

const answers = 2;

function setUp() {
  const timers = createFakeTimers();
  const group = createFakeGroup(['control-1'], () =>
    createSampleMachine({answers}),
  );
  /** A process whose clock is ahead by some milliseconds. */
  const start = (ahead: number) =>
    createSystemProposer({
      operator: 'rollout.control-1',
      consensus: group.member('control-1'),
      machine: group.machine('control-1'),
      clock: {now: timers.now, wall: () => timers.wall() + ahead},
    });
  return {group, start};
}

test('a process whose clock was ahead before its restart still has its changes accepted', async t => {
  // Its answers were dropped, and all it proposed was refused until the clock
  // reached the time that it had shown before.
  const {group, start} = setUp();
  const ahead = start(2_400_000);
  for (let count = 0; count <= answers; count++)
    await ahead([putService(`ahead-${count}`)]);
  const after = start(0);
  for (const name of ['first', 'second']) {
    const proposed = await after([putService(name)]);
    t.is(proposed.ok && proposed.value.code, commonCodes.ok.number);
    t.true(group.machine('control-1').current().services.has(name));
  }
});
