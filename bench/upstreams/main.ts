/**
 * Runs a stand-in upstream as a separate process; see `UpstreamOptions`. On
 * SIGTERM it announces that it drains, finishes its work, withdraws the
 * announcement and exits.
 */
import {parseArgs} from 'node:util';
import {parseAddress} from '../../src/link/address.js';
import {createRandom} from '../../src/random/random.js';
import {createTimers} from '../../src/time/timers.js';
import {createSelfAnnouncer} from './announcement.js';
import {serviceShapes} from './service.js';
import type {ServiceName} from './service.js';
import type {Overload} from './slots.js';
import {createUpstream} from './upstream.js';

const {values} = parseArgs({
  options: {
    service: {type: 'string'},
    address: {type: 'string'},
    announce: {type: 'string'},
    instance: {type: 'string'},
    slots: {type: 'string'},
    connections: {type: 'string'},
    work: {type: 'string'},
    'cold-start': {type: 'string', default: '0'},
    seed: {type: 'string', default: '1'},
    lag: {type: 'string', default: '0'},
    /** Version of the software, as it is announced. */
    version: {type: 'string'},
    /** Share of answers that are failures. */
    failing: {type: 'string', default: '0'},
    /** Share of answers that take four times as long. */
    slow: {type: 'string', default: '0'},
    overload: {type: 'string', default: 'queue'},
    /** A request whose path or body contains this word crashes the process. */
    crash: {type: 'string'},
    /** Milliseconds between announcing the drain and closing the server. */
    grace: {type: 'string', default: '1500'},
  },
});

const service = values.service as ServiceName;
const shape = serviceShapes[service];
if (shape === undefined || values.address === undefined) {
  process.stderr.write(
    `--service ${Object.keys(serviceShapes).join('|')} --address IP:PORT\n`,
  );
  process.exit(2);
}

const timers = createTimers();
const started = timers.wall();
const address = values.address;
const {host, port} = parseAddress(address);
const upstream = createUpstream({
  service,
  instance: values.instance ?? `${service}-${port}`,
  slots: Number(values.slots ?? shape.slots),
  connections: Number(values.connections ?? shape.connections),
  work: Number(values.work ?? shape.work),
  coldStart: Number(values['cold-start']),
  lag: Number(values.lag),
  failing: Number(values.failing),
  slow: Number(values.slow),
  overload: values.overload as Overload,
  ...(values.crash !== undefined && {crash: values.crash}),
  timers,
  random: createRandom(Number(values.seed)),
});
upstream.server.listen(port, host, () => process.stdout.write('listening\n'));

const announcer =
  values.announce === undefined
    ? undefined
    : createSelfAnnouncer(
        values.announce,
        () => ({
          instance: values.instance ?? `${service}-${port}`,
          service,
          ...(values.version !== undefined && {version: values.version}),
          address,
          slots: Number(values.slots ?? shape.slots),
          connections: Number(values.connections ?? shape.connections),
          healthPath: '/health',
          state: upstream.state(),
          started,
        }),
        timers,
      );

async function stop(): Promise<void> {
  upstream.drain();
  await announcer?.renew();
  const drainDelay = announcer === undefined ? 0 : Number(values.grace);
  await new Promise<void>(done => timers.after(drainDelay, done));
  await upstream.idle();
  await announcer?.withdraw();
  upstream.server.close(() => process.exit(0));
  upstream.server.closeIdleConnections();
  timers.after(Number(values.grace) + 1000, () => process.exit(0));
}

process.once('SIGTERM', () => void stop());
process.once('SIGINT', () => void stop());
