/**
 * An instance says that it is gone, the node beside it is stopped and started again,
 * and a heartbeat from before arrives late.
 */
import {Buffer} from 'node:buffer';
import process from 'node:process';
import {setTimeout as pause} from 'node:timers/promises';
import {URL, fileURLToPath} from 'node:url';
import {createAgent, send} from '../lib-2/client.mjs';
import {startDeployment, waitUntilReady} from '../lib-2/deployment.mjs';
import {startInstance} from '../lib-2/instance.mjs';
import {configuration, putUntilAcknowledged} from '../lib-2/operator.mjs';
import {createRecord} from '../lib-2/record.mjs';

const hasTrouble = process.env.TROUBLE !== '0';

/** Bounds of the site, in milliseconds. */
const drain = 2000;
const contact = 3000;
/** For a comparison: a kill in place of the planned stop. */
const isPlanned = process.env.KILL !== '1';
/** How late the heartbeat is: "A heartbeat may arrive seconds late". */
const lateness = isPlanned ? 6000 : 3500;
/** The process is started again 0.3 s after its end. */
const downTime = 300;
/** How long the instance serves after its DELETE: drain_s and, "at times", "many seconds". */
const servedAfterLeaving = isPlanned ? 12_000 : 9000;
/** The site has 723 for nine instances of the service. */
const requestsPerSecond = 500;

const services = [...Array.from({length: 8}, () => 'crewbook'), 'drillvault'];
const host = 'crew.example';
const record = createRecord(
  fileURLToPath(new URL('record.txt', import.meta.url)),
);
record.line(`TROUBLE=${hasTrouble ? 1 : 0}${isPlanned ? '' : ' KILL=1'}`);

const route = (path_prefix, kind, target) => ({
  hostname: host,
  path_prefix,
  kind,
  timeout_s: 0.6,
  target_latency_s: 0.25,
  priority: 1,
  service: target,
  max_attempts: 2,
});

/** Work of a certificate or a lookup, by the site file: 78 and 60 ms. */
const work = path =>
  (path.startsWith('/issue/') ? 78 : 60) * (0.7 + 0.6 * Math.random());

async function main() {
  const deployment = await startDeployment({services, record});
  const instances = [];
  let isOver = false;
  let isOut = false;
  try {
    const {controls, nodes} = deployment;
    const text = configuration({
      version: 1,
      base: 0,
      routes: {
        'r-issue': route('/issue/', 'unsafe', 'crewbook'),
        'r-read': route('/read/', 'safe', 'crewbook'),
      },
      services: ['crewbook', 'drillvault'],
    });
    const addresses = controls.map(({control}) => control);
    const accepted = await putUntilAcknowledged(addresses, text, 30_000);
    if (accepted?.status !== 200) return 2;
    for (const machine of nodes) {
      const born = Date.now();
      instances.push(startInstance({machine, work, born, record}));
    }
    if (!(await waitUntilReady(nodes))) return 2;
    await pause(2500);

    const agents = nodes.map(() => createAgent());
    const pending = new Set();
    const statuses = {};
    async function traffic() {
      for (let turn = 0; !isOver; turn++) {
        if (turn % 10 === 0)
          await pause((20_000 / requestsPerSecond) * Math.random());
        const index = turn % nodes.length;
        // The clients of the machine leave at the signal.
        if (index === 0 && isOut) continue;
        const isIssue = turn % 3 === 0;
        const answered = send({
          node: nodes[index],
          host,
          record,
          method: isIssue ? 'POST' : 'GET',
          kind: isIssue ? 'unsafe' : 'safe',
          body: isIssue ? Buffer.alloc(1200, 'b') : undefined,
          agent: agents[index],
          path: `/${isIssue ? 'issue' : 'read'}/${turn}`,
          deadline: isIssue ? 600 : 500,
        });
        pending.add(answered);
        void answered.then(({status}) => {
          pending.delete(answered);
          const name = `${isIssue ? 'issue' : 'read'} ${status}`;
          statuses[name] = (statuses[name] ?? 0) + 1;
        });
      }
    }
    const sending = traffic();
    await pause(2000);

    const [machine] = nodes;
    const [instance] = instances;
    // This heartbeat was sent before the DELETE, and is held up on its way.
    const heldUp = instance.heartbeatBody();
    const sentAt = Date.now();
    record.event('heartbeat sent, held up', {
      instance: instance.id,
      sequence: heldUp.status.sequence,
    });
    await pause(100);
    const status = await instance.leave();
    instance.silence();
    const acknowledgedAt = Date.now();
    record.event('DELETE acknowledged', {instance: instance.id, status});
    if (status !== 200) return 2;
    let inTouchAt = acknowledgedAt;
    if (hasTrouble) {
      await pause(200);
      isOut = true;
      machine.signal(isPlanned ? 'SIGTERM' : 'SIGKILL');
      await machine.exited();
      await pause(downTime);
      machine.start();
      inTouchAt = Date.now() + contact;
      await pause(lateness - (Date.now() - sentAt));
      const arrived = await instance.put(heldUp);
      record.event('held-up heartbeat arrived', {
        instance: instance.id,
        late: Date.now() - sentAt,
        status: arrived,
      });
    }
    await pause(servedAfterLeaving - (Date.now() - acknowledgedAt));
    const atExit = instance.running;
    isOut = true;
    instance.crash();
    const exitedAt = Date.now();
    record.event('exited', {instance: instance.id, running: atExit});
    await pause(200);
    machine.signal('SIGTERM');
    await pause(2000);
    isOver = true;
    await sending;
    await Promise.race([Promise.all(pending), pause(2000)]);

    const bindsFrom = Math.max(acknowledgedAt + drain, inTouchAt);
    const late = [];
    const lost = [];
    for (const [id, runs] of record.runs) {
      for (const run of runs) {
        if (run.instance !== instance.id || run.at <= bindsFrom) continue;
        late.push(id);
        const {kind, answer} = record.requests.get(id);
        if (kind === 'unsafe' && answer?.status !== 200 && run.at < exitedAt)
          lost.push({id, status: answer?.status});
      }
    }
    record.line(`answers ${JSON.stringify(statuses)}`);
    record.line(
      `requests that reached ${instance.id} later than drain_s after the acknowledgement, and contact_s after the start of its node: ${late.length}`,
    );
    record.line(
      `of these, certificates that were lost when it exited: ${lost.length} ${JSON.stringify(lost.slice(0, 5))}`,
    );
    if (late.length > 0) record.line('broken: DRAIN');
    return late.length > 0 ? 1 : 0;
  } finally {
    isOver = true;
    for (const instance of instances) instance.crash();
    await deployment.stop({keep: process.env.KEEP === '1'});
  }
}

const code = await main().catch(error => {
  record.line(`could not run: ${error.stack}`);
  return 2;
});
record.line(`exit ${code}`);
await record.close();
process.exit(code);
