import {request as httpRequest} from 'node:http';
import {setTimeout as pause} from 'node:timers/promises';
import test from 'ava';
import {parseAddress} from '../link/address.js';
import type {Address} from '../link/link.js';
import {createSilentLog} from '../log/log.js';
import {createRandom} from '../random/random.js';
import {createFakeTimers} from '../time/fakes/fake-timers.js';
import type {FakeTimers} from '../time/fakes/fake-timers.js';
import {createEntry} from './entry.js';
import {configurationOf, policyOf, routeOf} from './fakes/configurations.js';
import {advanceUntilDone, createMesh} from './fakes/mesh.js';
import type {Mesh} from './fakes/mesh.js';
import {createSlowLink} from './fakes/slow-link.js';
import {uploadSlotsFor} from './decisions/upload-slots.js';
import {bodyRateOf, createUploadPacer} from './transport/pacing.js';

const megabits = 10.5;
const linkRate = (megabits * 1e6) / 8;
const bodyLimit = 8 * 1024 * 1024;
const uploadSize = 280_000;
/** Milliseconds that an upstream works on an upload. */
const work = 230;
const objective = 1_200;
/** Milliseconds that are simulated. */
const duration = 6_000;
/** Maximum milliseconds from the acceptance of a change until it is in force. */
const maxDelay = 2_000;

const configuration = configurationOf({
  services: [{name: 'stock-desk', slowStart: 0}],
  routes: [routeOf({policy: 'uploads'})],
  policies: [
    policyOf({
      name: 'uploads',
      repeatability: 'once',
      deadline: 3_000,
      attempts: 2,
      objective: {target: 0.99, latency: objective},
    }),
  ],
});

/** Uploads per second. */
interface Load {
  /** From another node's entry to the gate. */
  readonly toGate: number;
  /** From callers to the entry of the gate's node. */
  readonly byCallers: number;
  /** Whether these callers run on the node's VM; elsewhere by default. */
  readonly onVm?: boolean;
  /** Bytes of an upload; 280 kB by default. */
  readonly size?: number;
  /** How many entries send to the gate; one by default. */
  readonly entries?: number;
}

/** A node behind a slow link, and an entry elsewhere whose link is wide. */
async function createFixture(timers: FakeTimers, load: Load) {
  const {onVm = false, entries: entryCount = 1} = load;
  const link = createSlowLink({rate: linkRate, timers});
  const rate = bodyRateOf(megabits);
  const uploadPacer = createUploadPacer(rate, timers);
  const mesh: Mesh = await createMesh({
    upstreams: [
      (req, res) => {
        req.resume();
        req.on('end', () => timers.after(work, () => res.end('stored')));
      },
    ],
    configuration: () => configuration,
    timers,
    gate: {slots: 9, queueLength: 36, uploadSlots: uploadSlotsFor(rate)},
    gateServer: {uploadPacer},
  });
  const {gate, server} = mesh.members[0]!;
  const [announcement] = mesh.endpoints.instances('stock-desk');
  const gateAddress = await link.relay(server.address);
  mesh.endpoints.put({...announcement!, gate: gateAddress});
  const entryOptions = {
    failureDomain: 'rusayl-a',
    address: '127.0.0.1:0',
    configuration: () => configuration,
    endpoints: mesh.endpoints,
    headerLimit: 16 * 1024,
    bodyLimit,
    timers,
    random: createRandom(1),
    log: createSilentLog(),
  };
  const entry = createEntry({
    ...entryOptions,
    name: 'own-entry',
    gate,
    uploadPacer: onVm ? undefined : uploadPacer,
  });
  const others = [mesh.entry];
  for (let count = 1; count < entryCount; count++) {
    const other = createEntry({...entryOptions, name: `entry-${count}`});
    await other.listen();
    others.push(other);
  }
  await entry.listen();

  return {
    link,
    otherEntries: others.map(({address}) => address),
    ownEntry: onVm ? entry.address : await link.relay(entry.address),
    async close(): Promise<void> {
      link.close();
      const stops = [entry, ...others.slice(1)].map(({stop}) => stop(0));
      await advanceUntilDone(timers, Promise.all(stops));
      await mesh.close();
    },
  };
}

/** Sends an upload on a new connection; the body is sent whatever the answer. */
function sendUpload(entry: Address, size: number, onStored: () => void): void {
  const {host, port} = parseAddress(entry);
  const options = {host, port, method: 'PUT', path: '/stock/7', agent: false};
  const upload = httpRequest(options, answer => {
    if (answer.statusCode === 200) onStored();
    answer.resume();
  });
  upload.on('error', () => {});
  upload.end(Buffer.alloc(size));
}

/** What became of uploads. */
interface Tally {
  sent: number;
  stored: number;
  /** Stored within the objective. */
  inTime: number;
}

function createTally(): Tally {
  return {sent: 0, stored: 0, inTime: 0};
}

/**
 * Advances the simulation by `duration`. Between its steps the sockets get real
 * time, since on a busy machine their bytes would be late by its clock.
 */
async function advanceWithSockets(timers: FakeTimers): Promise<void> {
  const step = 2;
  for (let passed = 0; passed < duration; passed += step) {
    await timers.advanceAsync(step);
    await pause(1);
  }
}

/** Simulates uploads for `duration`. */
async function simulate(load: Load) {
  const timers = createFakeTimers();
  const random = createRandom(7);
  const {size = uploadSize} = load;
  const {link, otherEntries, ownEntry, close} = await createFixture(
    timers,
    load,
  );
  const toGate = createTally();
  const byCallers = createTally();
  let longestDelay = 0;

  function upload(entry: Address, tally: Tally): void {
    tally.sent++;
    const sentAt = timers.now();
    sendUpload(entry, size, () => {
      tally.stored++;
      if (timers.now() - sentAt <= objective) tally.inTime++;
    });
  }

  const tick = 10;
  const ticks = timers.every(tick, () => {
    longestDelay = Math.max(longestDelay, link.delay());
    const isDue = (perSecond: number) =>
      random.fraction() < (perSecond * tick) / 1000;
    if (isDue(load.toGate)) {
      upload(otherEntries[toGate.sent % otherEntries.length]!, toGate);
    }
    if (isDue(load.byCallers)) upload(ownEntry, byCallers);
  });
  await advanceWithSockets(timers);
  ticks.cancel();
  const carried = (link.bytes / linkRate / duration) * 1000;
  const results = {toGate, byCallers, longestDelay, carried};
  await close();
  return results;
}

// Uploads that a gate refuses must not delay a change on the link.
test('a change crosses the link of a node that is offered too many uploads', async t => {
  const results = await simulate({toGate: 18, byCallers: 2});
  t.log(results);
  t.true(results.longestDelay < maxDelay, String(results.longestDelay));
});

// The bodies of uploads that are refused must not use up the link.
test('a link that is offered too many uploads carries those that are stored', async t => {
  const {
    toGate: {stored},
    carried,
  } = await simulate({toGate: 18, byCallers: 0});
  const useful =
    (stored * uploadSize) / ((bodyRateOf(megabits) * duration) / 1000);
  t.log({stored, carried, useful});
  t.true(useful > 2 / 3, `${useful} of the share, ${carried} of the link`);
});

// Bodies that are small enough for the frame of a call fill the link as well.
test('a change crosses the link of a node that is offered too many small uploads', async t => {
  const size = 60_000;
  const load = {toGate: 60, byCallers: 0, size, entries: 40};
  const results = await simulate(load);
  t.log(results);
  t.true(results.longestDelay < maxDelay, String(results.longestDelay));
  const inTime = (results.toGate.inTime * size * 1000) / duration;
  t.true(inTime > (bodyRateOf(megabits) * 2) / 3, String(inTime));
});

// Their bodies must not wait for a link that they do not cross.
test('uploads of callers on the VM are in time while its link is full', async t => {
  const load = {toGate: 18, byCallers: 3, onVm: true};
  const {byCallers, toGate} = await simulate(load);
  t.log({byCallers, toGate});
  // The last ones are under way when the simulation ends.
  const underWay = Math.ceil((load.byCallers * objective) / 1000);
  t.true(byCallers.inTime >= byCallers.sent - underWay);
});
