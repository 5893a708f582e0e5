import {readFileSync} from 'node:fs';
import process from 'node:process';
import {request} from 'undici';
import {metricNames} from '../../src/admin/metric-names.js';
import type {MetricReply} from '../../src/admin/admin-server.js';
import type {Edit} from '../../src/configuration/messages.js';
import type {OperatorClient} from '../../src/operator/create-operator-client.js';
import {connectOperator, findLeader, setUp} from '../deployment/setup.js';
import type {Deployment} from '../deployment/deployment.js';
import {startSmallDeployment} from '../deployment/small-deployment.js';
import {compare} from '../experiment.js';
import type {Experiment, Outcome, Row, RunOptions} from '../experiment.js';
import {readMemory} from '../memory.js';

/** Services of the size that the project is designed for. */
const services = 710;

/** Routes of each of them. */
const routes = 3;

/** Ticks of the kernel's processor clock in a second. */
const ticks = 100;

/** One look at a process. */
interface Look {
  readonly time: number;
  /** Milliseconds of processor time since its start. */
  readonly processor: number;
  /** Bytes on links between own processes since its start, by direction. */
  readonly received: number;
  readonly sent: number;
  /** Megabytes of its own. */
  readonly memory: number;
}

/** What a process spent between two looks. */
interface Spent {
  /** Milliseconds of processor time a second: tenths of a percent of a core. */
  readonly processor: number;
  /** Bytes a second. */
  readonly received: number;
  readonly sent: number;
}

async function pause(milliseconds: number): Promise<void> {
  await new Promise(resolve => setTimeout(resolve, milliseconds));
}

async function look(pid: number, admin: string): Promise<Look> {
  const stat = readFileSync(`/proc/${pid}/stat`, 'utf8');
  const fields = stat.slice(stat.lastIndexOf(')') + 2).split(' ');
  const used = Number(fields[11]) + Number(fields[12]);
  const answer = await request(`http://${admin}/metrics/${metricNames.bytes}`);
  const {values} = (await answer.body.json()) as MetricReply;
  const bytes = (direction: string) =>
    values
      .filter(({labels}) => labels['direction'] === direction)
      .reduce((sum, {value}) => sum + value, 0);
  return {
    time: Date.now(),
    processor: (used * 1000) / ticks,
    received: bytes('in'),
    sent: bytes('out'),
    memory: readMemory(pid).private,
  };
}

function spend(before: Look, after: Look): Spent {
  const seconds = (after.time - before.time) / 1000;
  return {
    processor: (after.processor - before.processor) / seconds,
    received: (after.received - before.received) / seconds,
    sent: (after.sent - before.sent) / seconds,
  };
}

let sequence = Date.now() * 1000;

async function change(client: OperatorClient, edits: Edit[]): Promise<void> {
  const reply = await client.change({
    operator: 'bench',
    sequence: ++sequence,
    edits,
  });
  if (!reply.ok || reply.value.code !== 1000) throw new Error('not accepted');
}

/** Puts services one by one, each with its routes. */
async function fill(client: OperatorClient): Promise<void> {
  for (let number = 0; number < services; number++) {
    const name = `service-${number}`;
    const edits: Edit[] = [
      {
        action: 'put',
        item: {kind: 'service', value: {name, slowStart: 0}},
      },
    ];
    for (let route = 0; route < routes; route++) {
      edits.push({
        action: 'put',
        item: {
          kind: 'route',
          value: {
            name: `route-${number}-${route}`,
            prefix: `/service-${number}/part-${route}`,
            methods: ['GET'],
            service: name,
            policy: 'lookups',
          },
        },
      });
    }
    await change(client, edits);
  }
}

interface Figures {
  readonly idle: Spent;
  readonly controlIdle: Spent;
  readonly changing: Spent;
  readonly controlChanging: Spent;
  /** Changes a second while changing. */
  readonly rate: number;
  /** Megabytes before and after the 710 services, and of control after. */
  readonly small: number;
  readonly large: number;
  readonly control: number;
}

async function observe(
  deployment: Deployment,
  options: RunOptions,
): Promise<Figures> {
  const leader = await findLeader(deployment);
  const place = deployment.instances[0]!;
  const node = () => look(place.node.id, place.settings.adminAddress);
  const control = () =>
    look(
      deployment.controls[leader]!.id,
      deployment.controlSettings[leader]!.adminAddress,
    );
  await pause(2000);
  const part = (options.seconds * 1000) / 4;
  const [nodeStart, controlStart] = [await node(), await control()];
  await pause(part);
  const [nodeIdle, controlIdle] = [await node(), await control()];

  const client = connectOperator(deployment);
  const started = Date.now();
  await fill(client);
  await pause(1500);
  const [nodeEnd, controlEnd] = [await node(), await control()];
  const rate = services / ((Date.now() - started) / 1000);
  await client.close();
  return {
    idle: spend(nodeStart, nodeIdle),
    controlIdle: spend(controlStart, controlIdle),
    changing: spend(nodeIdle, nodeEnd),
    controlChanging: spend(controlIdle, controlEnd),
    rate,
    small: nodeIdle.memory,
    large: nodeEnd.memory,
    control: controlEnd.memory,
  };
}

async function measure(calls: string[] | undefined, options: RunOptions) {
  process.env['FOXBARROW_BINARY'] = 'dist/foxbarrow';
  const deployment = await startSmallDeployment({
    controls: 3,
    services: [{name: 'crewbook', instances: 3}],
    ...(calls !== undefined && {node: {calls}}),
  });
  try {
    await setUp(deployment, 'examples/agency/setup.fox');
    return await observe(deployment, options);
  } finally {
    await deployment.stop();
  }
}

function describe(name: string, figures: Figures): Row[] {
  const {idle, changing, rate} = figures;
  const perChange = (key: keyof Spent) =>
    Math.max(0, changing[key] - idle[key]) / rate;
  return [
    {figure: `${name}: idle processor`, unit: 'ms/s', value: idle.processor},
    {figure: `${name}: idle received`, unit: 'B/s', value: idle.received},
    {figure: `${name}: idle sent`, unit: 'B/s', value: idle.sent},
    {
      figure: `${name}: processor for a change`,
      unit: 'ms',
      value: perChange('processor'),
    },
    {
      figure: `${name}: received for a change`,
      unit: 'B',
      value: perChange('received'),
    },
    compare(`${name}: own memory`, 'MB', figures.large, figures.small),
  ];
}

async function run(options: RunOptions): Promise<Outcome> {
  const all = await measure(undefined, options);
  const one = await measure(['crewbook'], options);
  return {
    rows: [
      ...describe('node that calls all services', all),
      ...describe('node that calls one service', one),
      {
        figure: 'leader: idle processor',
        unit: 'ms/s',
        value: all.controlIdle.processor,
      },
      {
        figure: 'leader: processor for a change',
        unit: 'ms',
        value:
          (all.controlChanging.processor - all.controlIdle.processor) /
          all.rate,
      },
      {figure: 'leader: own memory at 710', unit: 'MB', value: all.control},
    ],
    counts: {
      'changes a second, all': Math.round(all.rate),
      'changes a second, one': Math.round(one.rate),
    },
    notes: [
      'a change puts one service with three routes; 710 of them one by one',
      'own memory: after 710 services against before them',
    ],
  };
}

export const experiment: Experiment = {
  name: 'node-cost',
  about:
    'what control costs a node: processor, bytes, memory, idle and a change',
  baseline: 'the same node before the 710 services',
  seconds: 40,
  run,
};
