import {createRegistry} from '../../src/endpoints/registry.js';
import type {Registry} from '../../src/endpoints/registry.js';
import {createChannels} from '../../src/link/channel.js';
import {createFakeNetwork} from '../../src/link/fakes/fake-network.js';
import type {Link} from '../../src/link/link.js';
import {createSilentLog} from '../../src/log/log.js';
import {createFakeTimers} from '../../src/time/fakes/fake-timers.js';
import {createCrowd} from '../endpoints/crowd.js';
import {compare} from '../experiment.js';
import type {Experiment, Outcome, RunOptions} from '../experiment.js';

/**
 * Bytes of a merge: the link between the homes of two regions is down for ten
 * minutes while instances restart on both sides, then it is restored. The
 * experiment uses an in-memory network and fake timers, so its results do not
 * depend on the machine.
 */

const instances = 3350;
const services = 710;
/** Duration of the partition in milliseconds. */
const partition = 600_000;

interface Merge {
  readonly bytes: number;
  /** Milliseconds from the new link until both tables are equal. */
  readonly duration: number;
}

const describe = (home: Registry) =>
  JSON.stringify(
    home.records().map(({announcement}) => ({...announcement, since: 0})),
  );

async function merge(restarts: number): Promise<Merge> {
  const timers = createFakeTimers(1_000_000);
  const network = createFakeNetwork(timers, 8);
  const log = createSilentLog();
  const links: Link[] = [];
  const homes = ['astana', 'muscat'].map(region =>
    createRegistry({name: region, region, timers, log, lease: 10_000}),
  );
  const crowds = homes.map((home, index) =>
    createCrowd(home, timers, {instances, services, first: index * instances}),
  );

  async function link(): Promise<void> {
    const listener = await network.from('muscat').listen('peers', opened => {
      links.push(opened);
      homes[1]!.peer(createChannels(opened));
    });
    const opening = network.from('astana').connect('peers');
    await timers.advanceAsync(20);
    const opened = await opening;
    links.push(opened);
    homes[0]!.peer(createChannels(opened));
    await listener.close();
  }

  await link();
  timers.advance(5000);
  for (const one of links.splice(0)) one.close();
  timers.advance(1000);
  for (const crowd of crowds) void crowd.churn(restarts, partition);
  timers.advance(partition + 1000);
  const startedAt = timers.now();
  await link();
  while (describe(homes[0]!) !== describe(homes[1]!)) {
    timers.advance(100);
    if (timers.now() - startedAt > 60_000)
      throw new Error('the tables did not merge within a minute');
  }
  for (const home of homes) home.close();
  return {
    bytes: links.reduce((sum, one) => sum + one.bytesOut, 0),
    duration: timers.now() - startedAt,
  };
}

async function run(options: RunOptions): Promise<Outcome> {
  void options;
  // With all instances restarted, the merge sends the complete tables.
  const whole = await merge(instances);
  const usual = await merge(5);
  const busy = await merge(100);
  return {
    rows: [
      compare('merge after 10 restarts, bytes', 'B', usual.bytes, whole.bytes),
      compare('merge after 200 restarts, bytes', 'B', busy.bytes, whole.bytes),
      compare('merge after 200, time', 'ms', busy.duration, whole.duration),
    ],
    counts: {instances: 2 * instances, services},
    notes: [
      'bytes in both directions between one pair of homes, as encoded, without framing',
    ],
  };
}

export const experiment: Experiment = {
  name: 'endpoints-merge',
  about: 'bytes and time to merge the tables of two regions after ten minutes',
  baseline: 'the same when every instance has restarted',
  seconds: 30,
  run,
};
