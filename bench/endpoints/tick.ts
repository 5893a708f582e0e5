import process from 'node:process';
import type {PeerMessage} from '../../src/endpoints/messages.js';
import {createRegistry} from '../../src/endpoints/registry.js';
import {createSilentLog} from '../../src/log/log.js';
import {createFakeTimers} from '../../src/time/fakes/fake-timers.js';
import {createLoopChannels} from './crowd.js';

/**
 * Measures the processor time of a home's periodic work: sweeps and digests for
 * the other homes. It uses fake timers and in-memory channels, so that only the
 * home's own work is measured.
 */

/** Simulated seconds per round. */
const ticks = 300;
/**
 * Number of rounds; the smallest result counts, since other load on the machine
 * can only add to a measurement.
 */
const rounds = 5;
const services = 710;

/**
 * Returns microseconds per second of a home with this many records and peers.
 */
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
  const sendRoots = () => {
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
  sendRoots();
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
  const runTick = () => {
    sendRoots();
    timers.advance(1000);
  };
  let minimum = Infinity;
  for (let round = 0; round < rounds; round++) {
    const before = process.cpuUsage();
    for (let tick = 0; tick < ticks; tick++) runTick();
    const {user, system} = process.cpuUsage(before);
    minimum = Math.min(minimum, (user + system) / ticks);
  }
  home.close();
  return minimum;
}
