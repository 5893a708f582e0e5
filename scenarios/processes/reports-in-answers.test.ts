import test from 'ava';
import {
  findDrainBreaks,
  findFalseRefusals,
  findLimitBreaks,
} from '../../bench/limits/checks.js';
import {runSoak} from '../../bench/limits/soak.js';

test.serial(
  'limits and shutdowns that instances report in answers hold under faults',
  async t => {
    // Nodes are killed, stopped and frozen, control is frozen, and instances
    // crash while they name limits or leave.
    const seed = 2;
    const options = {seed, instances: 6, rate: 120, duration: 20_000};
    const result = await runSoak(options);
    t.deepEqual(findLimitBreaks(result), []);
    t.deepEqual(findDrainBreaks(result), []);
    t.deepEqual(findFalseRefusals(result), []);
  },
);
