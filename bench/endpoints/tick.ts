import process from 'node:process';
import type {PeerMessage} from '../../src/endpoints/messages.js';
import {createRegistry} from '../../src/endpoints/registry.js';
import {createSilentLog} from '../../src/log/log.js';
import {createFakeTimers} from '../../src/time/fakes/fake-timers.js';
import {createLoopChannels} from './crowd.js';

/**
 * Processor time of a home's periodic work: sweeps, and the digests for the
 * other homes. Time is moved by hand and messages end in memory, so that only
 * the home's own decisions are counted.
 */

const ticks = 300;
/** What else runs on the machine only adds, so the least of these is taken. */
const rounds = 5;
const services = 710;

/** Microseconds for each second of a home with so many records and peers. */
export function measureTick(instances: number, peers: number): number {
  const timers = createFakeTimers(1_000_000);
  const home = createRegistry({
    name: 'home',
    region: 'astana',
    timers,
    log: createSilentLog(),
    lease: 10_000,
  });
  const receivers: Array<(message: PeerMessage) => void> = [];
  for (let peer = 0; peer < peers; peer++) {
    home.peer(createLoopChannels(receive => receivers.push(receive)));
  }
  const sayRoots = () => {
    for (const [index, receive] of receivers.entries()) {
      receive({
        kind: 'root',
        name: `a-${index}`,
        digest: {low: 0, high: 0},
        missing: [],
        linked: [],
      });
    }
  };
  sayRoots();
  receivers[0]!({
    kind: 'records',
    records: Array.from({length: instances}, (_, index) => ({
      announcement: {
        instance: `vm-${index}`,
        service: `service-${index % services}`,
        incarnation: 1,
        sequence: 1,
        state: 'serving' as const,
        gate: `vm-${index}:7000`,
        failureDomain: 'hall-a',
        region: 'astana',
        slots: 10,
        connections: 130,
        since: 0,
      },
      home: `a-${index % peers}`,
      homeRegion: 'astana',
      expired: false,
      goneFor: 0,
    })),
  });
  const run = () => {
    sayRoots();
    timers.advance(1000);
  };
  let least = Infinity;
  for (let round = 0; round < rounds; round++) {
    const before = process.cpuUsage();
    for (let tick = 0; tick < ticks; tick++) run();
    const {user, system} = process.cpuUsage(before);
    least = Math.min(least, (user + system) / ticks);
  }
  home.close();
  return least;
}
