/** Two nodes of a zone are stopped in turn; uploads that they took near the end of their grace are cut off. */
import {mkdtempSync, rmSync} from 'node:fs';
import {request as httpRequest} from 'node:http';
import {tmpdir} from 'node:os';
import {join} from 'node:path';
import {performance} from 'node:perf_hooks';
import process from 'node:process';
import {setTimeout as sleep} from 'node:timers/promises';
import {URL, fileURLToPath} from 'node:url';
import {
  configuration,
  createRecord,
  putConfig,
  route,
  send,
  untilReady,
} from '../lib/clients.mjs';
import {startInstance} from '../lib/instance.mjs';
import {createDeployment, smallBounds} from '../lib/processes.mjs';

const hasTrouble = process.env.TROUBLE !== '0';
/** Uploads per second of the clients in the zone. */
const perSecond = 60;
/** Milliseconds that a client waits, and the route's timeout. */
const deadline = 2000;
/** Seconds between the SIGTERM of one node and that of the next. */
const gap = 1;
/** Milliseconds of work; most uploads take the first, two fifths the second. */
const usualWork = 260;
const longWork = () => 1650 + Math.random() * 250;
const longShare = 0.4;

const folder = mkdtempSync(join(tmpdir(), 'review-'));
const record = createRecord(
  fileURLToPath(new URL('record.txt', import.meta.url)),
);
const {log, events} = record;
const deployment = await createDeployment({
  folder,
  sidecars: Array.from({length: 6}, () => 'parts-files'),
});
const {nodes, controls} = deployment;
/** The nodes of the first zone, whose clients send the uploads. */
const zone = nodes.filter(node => node.zone === nodes[0].zone);
const misses = new Map(zone.map(node => [node, 0]));
const stoppedAt = new Map();
const instances = [];
let isDone = false;

/** One readiness check, as the platform makes it once a second. */
function checkReadiness(node) {
  const [host, port] = node.ready.split(':');
  return new Promise(resolve => {
    const outgoing = httpRequest(
      {host, port: Number(port), path: '/ready', agent: false, timeout: 900},
      incoming => {
        incoming.resume();
        resolve(incoming.statusCode === 200);
      },
    );
    outgoing.on('timeout', () => outgoing.destroy());
    outgoing.on('error', () => resolve(false));
    outgoing.end();
  });
}

async function platform(node) {
  while (!isDone) {
    const isReady = await checkReadiness(node);
    const before = misses.get(node);
    misses.set(node, isReady ? 0 : before + 1);
    if (!isReady && before === 1) log('out', {node: node.name});
    if (isReady && before > 1) log('in', {node: node.name});
    await sleep(1000);
  }
}

/** The nodes to which clients of the zone send. */
function targets() {
  const ready = zone.filter(node => misses.get(node) < 2);
  return ready.length * 2 < zone.length ? zone : ready;
}

async function traffic() {
  const pending = [];
  const started = performance.now();
  const body = 'scan'.repeat(2000);
  for (let count = 0; !isDone;) {
    const due = ((performance.now() - started) / 1000) * perSecond;
    for (; count < due; count++) {
      const among = targets();
      pending.push(
        send({
          address: among[count % among.length].outbound,
          host: 'ficu95.example',
          path: `/pule252/${count}`,
          method: 'POST',
          body,
          deadline,
          log,
          headers: {'content-length': String(body.length)},
        }),
      );
    }
    await sleep(5);
  }
  await Promise.all(pending);
}

async function restartInTurn(node) {
  stoppedAt.set(node.outbound, record.now());
  log('SIGTERM', {node: node.name});
  node.signal('SIGTERM');
  const kill = sleep(smallBounds.grace_s * 1000).then(() => {
    if (node.isUp && !node.hasRestarted) node.signal('SIGKILL');
  });
  await node.stopped();
  log('ended', {node: node.name, ...node.lastExit});
  await sleep(300);
  node.hasRestarted = true;
  node.start({bootstrap: false});
  await kill;
}

async function run() {
  deployment.startAll();
  for (const machine of nodes) {
    instances.push(
      startInstance({
        machine,
        service: machine.service,
        slots: 18,
        log,
        work: () => (Math.random() < longShare ? longWork() : usualWork),
      }),
    );
  }
  const body = configuration({
    version: 'r1',
    base: 'r0',
    services: ['parts-files'],
    routes: {
      'r-scan': route('parts-files', {
        kind: 'upload',
        path: '/pule252/',
        timeout: deadline / 1000,
        latency: 0.8,
      }),
    },
  });
  const addresses = controls.map(({control}) => control);
  if (!(await putConfig({addresses, body, log}))) return 2;
  if (!(await untilReady(nodes))) return 2;
  const checks = zone.map(platform);
  await sleep(4000);
  const sending = traffic();
  await sleep(5000);
  const restarts = [];
  if (hasTrouble) {
    for (const node of zone) {
      restarts.push(restartInTurn(node));
      await sleep(gap * 1000);
    }
  }
  await sleep(8000);
  isDone = true;
  await Promise.all([sending, ...restarts, ...checks]);
  return judge();
}

function judge() {
  const sent = new Map();
  const runs = new Map();
  const ran = new Map();
  for (const event of events) {
    if (event.what === 'sent') sent.set(event.request, event);
    if (event.what === 'runs') runs.set(event.request, event);
    if (event.what === 'ran') ran.set(event.request, event);
  }
  const answers = events.filter(({what}) => what === 'answered');
  const ok = answers.filter(({status, whole}) => status === 200 && whole);
  const {grace_s: grace} = smallBounds;
  const lost = answers.flatMap(({request, at, status, whole, error}) => {
    if (status !== undefined && whole) return [];
    const {at: sentAt, node} = sent.get(request);
    const termAt = stoppedAt.get(node);
    const start = runs.get(request);
    if (termAt === undefined || start === undefined) return [];
    const after = sentAt - termAt;
    if (after < 0 || at > termAt + grace + 1) return [];
    // Excused: the deadline, which is the route's timeout too, was reached.
    if (at - sentAt >= deadline / 1000) return [];
    // Excused: sent in time, and still at work in the last sixth of the grace.
    const endsAt = ran.get(request)?.at ?? Infinity;
    const isInLastSixth = endsAt >= termAt + (grace * 5) / 6;
    if (after <= 3 && isInLastSixth) return [];
    const facts = [
      request,
      error ?? `${status} broken off`,
      `sent ${after.toFixed(2)} s after SIGTERM`,
      `cut ${(at - termAt).toFixed(2)} s after it`,
      `its run ended ${(endsAt - termAt).toFixed(2)} s after it`,
    ];
    return [facts.join(', ')];
  });
  const summary = [
    `TROUBLE=${hasTrouble ? 1 : 0}`,
    `uploads ${answers.length}, answered 200 ${ok.length}`,
    `LOST: ${lost.length} uploads that an instance ran to its end were cut without an answer`,
    ...lost.map(facts => `  ${facts}`),
  ];
  record.write(summary);
  process.stdout.write(`${summary.join('\n')}\n`);
  if (ok.length < answers.length / 4) return 2;
  return lost.length > 0 ? 1 : 0;
}

let code = 2;
try {
  code = await run();
} catch (error) {
  process.stderr.write(`${error.stack}\n`);
} finally {
  for (const instance of instances) instance.stop();
  await deployment.end();
  if (code === 2)
    process.stderr.write(`the case could not run; logs in ${folder}\n`);
  else rmSync(folder, {recursive: true, force: true});
}
process.exit(code);
