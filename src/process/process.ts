/** Resources that every role of the program uses. */
import {randomInt} from 'node:crypto';
import {createTcpNetwork} from '../link/tcp-network.js';
import type {Network} from '../link/link.js';
import {createLog} from '../log/log.js';
import type {Level, Log} from '../log/log.js';
import {createRandom} from '../random/random.js';
import type {Random} from '../random/random.js';
import {createTimers} from '../time/timers.js';
import type {Timers} from '../time/timers.js';

/** The settings that all roles share. */
export interface ProcessSettings {
  readonly name: string;
  readonly logLevel: Level;
  readonly seed?: number | undefined;
}

/** Time, randomness, network and log of one process. */
export interface Process {
  readonly timers: Timers;
  readonly random: Random;
  readonly network: Network;
  readonly log: Log;
}

const seedLimit = 2 ** 31;

/** Creates the resources; a process without a `seed` setting gets a random one. */
export function createProcess(settings: ProcessSettings): Process {
  const log = createLog(settings.name, settings.logLevel);
  return {
    timers: createTimers(),
    random: createRandom(settings.seed ?? randomInt(seedLimit)),
    network: createTcpNetwork({
      onFault: error => log.error('link ended', {reason: error.message}),
    }),
    log,
  };
}
