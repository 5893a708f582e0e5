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

/** Number of services that the project is designed for. */
const services = 710;

/** Routes per service. */
const routes = 3;

/** Ticks per second of the processor times in /proc. */
const ticks = 100;

/** Usage counters of a process at one time. */
interface Sample {
  readonly time: number;
  /** Milliseconds of processor time since the process start. */
  readonly processor: number;
  /** Bytes on links to other foxbarrow processes since the process start. */
  readonly received: number;
  readonly sent: number;
  /** Private memory in megabytes. */
  readonly memory: number;
}

/** Usage of a process between two samples. */
interface Usage {
  /** Milliseconds of processor time per second: 1 is 0.1 % of a core. */
  readonly processor: number;
  /** Bytes per second. */
  readonly received: number;
  readonly sent: number;
}

async function pause(milliseconds: number): Promise<void> {
  await new Promise(resolve => setTimeout(resolve, milliseconds));
}

async function readSample(pid: number, admin: string): Promise<Sample> {
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

function usageBetween(before: Sample, after: Sample): Usage {
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
  if (!reply.ok || reply.value.code !== 1000)
    throw new Error('the change was not accepted');
}

/** Adds the services one by one, each with its routes. */
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
  readonly idle: Usage;
  readonly controlIdle: Usage;
  readonly changing: Usage;
  readonly controlChanging: Usage;
  /** Changes per second during the change phase. */
  readonly rate: number;
  /**
   * Megabytes of a node before and after the 710 services, and of control
   * after.
   */
  readonly small: number;
  readonly large: number;
  readonly control: number;
}

async function observe(
  deployment: Deployment,
  options: RunOptions,
): Promise<Figures> {
  const leader = await findLeader(deployment);
  const instance = deployment.instances[0]!;
  const node = () =>
    readSample(instance.node.id, instance.settings.adminAddress);
  const control = () =>
    readSample(
      deployment.controls[leader]!.id,
      deployment.controlSettings[leader]!.adminAddress,
    );
  await pause(2000);
  const duration = (options.seconds * 1000) / 4;
  const [nodeStart, controlStart] = [await node(), await control()];
  await pause(duration);
  const [nodeIdle, controlIdle] = [await node(), await control()];

  const client = connectOperator(deployment);
  const startedAt = Date.now();
  await fill(client);
  await pause(1500);
  const [nodeEnd, controlEnd] = [await node(), await control()];
  const rate = services / ((Date.now() - startedAt) / 1000);
  await client.close();
  return {
    idle: usageBetween(nodeStart, nodeIdle),
    controlIdle: usageBetween(controlStart, controlIdle),
    changing: usageBetween(nodeIdle, nodeEnd),
    controlChanging: usageBetween(controlIdle, controlEnd),
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
  const perChange = (key: keyof Usage) =>
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
      'a change adds one service with three routes; 710 changes, one by one',
      'own memory: after adding 710 services, compared to before',
    ],
  };
}

export const experiment: Experiment = {
  name: 'node-cost',
  about:
    'processor time, bytes and memory of a node, while idle and per change',
  baseline: 'the same node before the 710 services',
  seconds: 40,
  run,
};
