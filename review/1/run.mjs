/** A late extra rejection of one request arrives where the answer to the next is expected. */
import {Buffer} from 'node:buffer';
import {mkdtempSync, rmSync} from 'node:fs';
import {tmpdir} from 'node:os';
import {performance} from 'node:perf_hooks';
import {join} from 'node:path';
import process from 'node:process';
import {setTimeout as sleep} from 'node:timers/promises';
import {URL, fileURLToPath} from 'node:url';
import {
  configuration,
  createRecord,
  keepAliveAgent,
  putConfig,
  route,
  send,
  untilReady,
} from '../lib/clients.mjs';
import {startInstance} from '../lib/instance.mjs';
import {createDeployment} from '../lib/processes.mjs';

const hasTrouble = process.env.TROUBLE !== '0';
/** Share of the requests that the instances reject, in both runs. */
const rejectedShare = 0.1;
/** Number of instances, of five, that send extra answers. */
const faultyInstances = 3;
/** Share of their answers, of any kind, that they send a second time. */
const extraShare = 0.03;
const troubleSeconds = 5;
const trafficSeconds = 9;
const perSecond = 900;

const folder = mkdtempSync(join(tmpdir(), 'review-'));
const record = createRecord(
  fileURLToPath(new URL('record.txt', import.meta.url)),
);
const {log} = record;
const deployment = await createDeployment({
  folder,
  sidecars: [
    'crewbook',
    'crewbook',
    'crewbook',
    'crewbook',
    'crewbook',
    'drillvault',
  ],
});
const {nodes, controls} = deployment;
let isFaulty = false;
const instances = [];
/** Copies that are due where the next answer on a connection is expected. */
const dueExtras = new WeakMap();

function rawOf({status, headers, body}) {
  const lines = Object.entries(headers).map(
    ([name, value]) => `${name}: ${value}`,
  );
  return `HTTP/1.1 ${status} Extra\r\n${lines.join('\r\n')}\r\ncontent-length: ${Buffer.byteLength(body)}\r\nconnection: keep-alive\r\n\r\n${body}`;
}

async function run() {
  deployment.startAll();
  for (const machine of nodes) {
    instances.push(
      startInstance({
        machine,
        service: machine.service,
        log,
        decide: () => ({reject: Math.random() < rejectedShare}),
        afterAnswer: (socket, answer) => {
          if (!isFaulty || nodes.indexOf(machine) >= faultyInstances) return;
          if (answer.id === undefined) return;
          if (Math.random() < extraShare) dueExtras.set(socket, answer);
        },
        beforeAnswer: (socket, id) => {
          const extra = dueExtras.get(socket);
          if (extra === undefined) return;
          dueExtras.delete(socket);
          log('extra answer', {of: extra.id, before: id, status: extra.status});
          socket.write(rawOf(extra));
        },
      }),
    );
  }
  const body = configuration({
    version: 'r1',
    base: 'r0',
    services: ['crewbook', 'drillvault'],
    routes: {
      'r-issue': route('crewbook', {kind: 'unsafe', path: '/pufi791/'}),
      'r-read': route('drillvault', {kind: 'safe', path: '/lohu930/'}),
    },
  });
  const addresses = controls.map(({control}) => control);
  if (!(await putConfig({addresses, body, log}))) return 2;
  if (!(await untilReady(nodes))) return 2;
  await sleep(4000);
  const agent = keepAliveAgent();
  const pending = [];
  const started = performance.now();
  let count = 0;
  while (performance.now() - started < trafficSeconds * 1000) {
    const elapsed = (performance.now() - started) / 1000;
    isFaulty = hasTrouble && elapsed > 1 && elapsed < 1 + troubleSeconds;
    for (; count < elapsed * perSecond; count++) {
      const node = nodes[count % nodes.length];
      pending.push(
        send({
          address: node.outbound,
          host: 'ficu95.example',
          path: `/pufi791/${count}`,
          method: 'POST',
          body: `booking ${count}`,
          deadline: 2000,
          agent,
          log,
          headers: {'content-length': String(`booking ${count}`.length)},
        }),
      );
    }
    await sleep(5);
  }
  await Promise.all(pending);
  await sleep(500);
  agent.destroy();
  return judge();
}

function judge() {
  const runs = new Map();
  for (const event of record.events) {
    if (event.what === 'runs')
      runs.set(event.request, (runs.get(event.request) ?? 0) + 1);
  }
  const answers = record.events.filter(({what}) => what === 'answered');
  const twice = [...runs].filter(([, count]) => count > 1).map(([id]) => id);
  const refused = answers
    .filter(
      ({status, request}) =>
        [408, 421, 429, 503].includes(status) && runs.has(request),
    )
    .map(({request}) => request);
  const ok = answers.filter(({status}) => status === 200).length;
  const extras = record.events.filter(({what}) => what === 'extra answer');
  const extraRejections = extras.filter(({status}) => status === 503).length;
  const summary = [
    `TROUBLE=${hasTrouble ? 1 : 0}`,
    `requests ${answers.length}, answered 200 ${ok}, rejections by instances ${record.events.filter(({what}) => what === 'rejected').length}, extra answers ${extras.length}, of which rejections ${extraRejections}`,
    `TWICE: ${twice.length} unsafe requests ran more than once: ${twice.join(' ')}`,
    `REFUSED: ${refused.length} unsafe requests were answered 408, 421, 429 or 503 and have run: ${refused.join(' ')}`,
  ];
  record.write(summary);
  process.stdout.write(`${summary.join('\n')}\n`);
  if (ok < answers.length / 4) return 2;
  return twice.length + refused.length > 0 ? 1 : 0;
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
