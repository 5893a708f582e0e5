/** Starts control processes and nodes from the deploy file's program on loopback addresses. */
import {spawn} from 'node:child_process';
import {
  createWriteStream,
  mkdirSync,
  mkdtempSync,
  readFileSync,
  renameSync,
  rmSync,
  writeFileSync,
} from 'node:fs';
import {createServer} from 'node:net';
import {tmpdir} from 'node:os';
import {join} from 'node:path';
import {setTimeout as pause} from 'node:timers/promises';
import {URL, fileURLToPath} from 'node:url';

const {AbortSignal, fetch} = globalThis;

const root = fileURLToPath(new URL('../..', import.meta.url));
const binary = join(root, 'target/foxbarrow');

const zones = ['hall-a', 'hall-b', 'hall-c'];

/** Bounds of the small sites. */
const bounds = {grace_s: 6};

function lookUp(fields, path) {
  return path.split('.').reduce((value, key) => value?.[key], fields);
}

/** Renders a template of the deploy file as DEPLOY.md describes it. */
function render(template, fields) {
  const sections = template.replace(
    /\{\{([#^])([\w.]+)\}\}(.*?)\{\{\/\2\}\}/gs,
    (_all, kind, path, inner) =>
      Boolean(lookUp(fields, path)) === (kind === '#') ? inner : '',
  );
  return sections.replace(/\{\{([\w.]+)(\|json)?\}\}/g, (_all, path, json) => {
    const value = lookUp(fields, path);
    return json === undefined ? String(value ?? '') : JSON.stringify(value);
  });
}

function freePort(host) {
  return new Promise((resolve, reject) => {
    const server = createServer();
    server.once('error', reject);
    server.listen(0, host, () => {
      const {port} = server.address();
      server.close(() => resolve(port));
    });
  });
}

/** The same free ports for all machines, as on the platform. */
async function takePorts() {
  const names = [
    'ready',
    'control',
    'inbound',
    'outbound',
    'app',
    'peer',
    'distribution',
    'operator',
    'admin',
    'metrics',
  ];
  const ports = {};
  for (const name of names) ports[name] = await freePort('127.0.0.1');
  return ports;
}

/**
 * Starts a deployment. `services` names the service of the instance beside each
 * node. Resolves when all processes were started; see `waitUntilReady`.
 */
export async function startDeployment({
  controls = 3,
  services,
  record,
  bounds: moreBounds = {},
}) {
  const folder = mkdtempSync(join(tmpdir(), 'foxbarrow-review-'));
  const ports = await takePorts();
  // Each run has its own addresses, so that two of them don't meet.
  const net = 1 + Math.floor(Math.random() * 250);
  const hostOf = index => `127.${100 + (net % 100)}.${net}.${10 + index}`;
  const seeds = Array.from(
    {length: controls},
    (_none, index) => `${hostOf(index)}:${ports.control}`,
  );
  const machines = [];

  function createMachine(role, index, service) {
    const host = hostOf(index);
    const at = name => `${host}:${ports[name]}`;
    const name = `${role}-${index}`;
    const home = join(folder, name);
    const data = join(home, 'data');
    const file = join(home, 'node.conf');
    mkdirSync(data, {recursive: true});
    const log = createWriteStream(join(home, 'log'), {flags: 'a'});
    const template = readFileSync(
      join(root, `platform/${role}.json.template`),
      'utf8',
    );
    let fields = {
      node: name,
      ip: host,
      zone: zones[index % zones.length],
      region: 'astana',
      bootstrap: true,
      data_dir: data,
      service,
      listen: {
        ready: at('ready'),
        control: at('control'),
        inbound: at('inbound'),
        outbound: at('outbound'),
      },
      port_range: [ports.peer, ports.distribution],
      seeds: seeds.slice(0, 3),
      limits: {link_mbps: 1000},
      fault_tolerance: {machines: 1},
      bounds: {...bounds, ...moreBounds},
    };
    let child;
    let exited = Promise.resolve();
    let wanted = false;
    const selfEnds = [];

    function writeSettings(changes = {}) {
      fields = {...fields, ...changes};
      const settings = {
        ...JSON.parse(render(template, fields)),
        metricsAddress: at('metrics'),
        ...(role === 'control' && {
          adminAddress: at('admin'),
          operatorAddress: at('operator'),
        }),
      };
      writeFileSync(`${file}.new`, JSON.stringify(settings));
      renameSync(`${file}.new`, file);
    }

    writeSettings();
    const machine = {
      name,
      role,
      host,
      service,
      zone: fields.zone,
      data,
      control: at('control'),
      outbound: at('outbound'),
      inbound: at('inbound'),
      ready: at(role === 'node' ? 'ready' : 'admin'),
      metrics: at('metrics'),
      app: at('app'),
      writeSettings,
      selfEnds,
      get pid() {
        return child?.pid;
      },
      start() {
        wanted = true;
        child = spawn(binary, [role, file], {
          cwd: root,
          stdio: ['ignore', 'pipe', 'pipe'],
          env: {PATH: '/usr/bin:/bin'},
        });
        record?.event('start', {machine: name, pid: child.pid});
        child.stdout.pipe(log, {end: false});
        child.stderr.pipe(log, {end: false});
        const started = child;
        exited = new Promise(resolve =>
          started.once('exit', (code, signal) => {
            record?.event('exit', {machine: name, code, signal});
            if (wanted && signal !== 'SIGKILL' && signal !== 'SIGTERM')
              selfEnds.push({machine: name, code, signal, at: Date.now()});
            resolve();
          }),
        );
      },
      signal(which) {
        if (which === 'SIGKILL' || which === 'SIGTERM') wanted = false;
        record?.event('signal', {machine: name, signal: which});
        child?.kill(which);
      },
      exited: () => exited,
      loseDisk() {
        rmSync(data, {recursive: true, force: true});
        mkdirSync(data);
        writeSettings({bootstrap: false});
      },
      logText: () => readFileSync(join(home, 'log'), 'utf8'),
    };
    machines.push(machine);
    return machine;
  }

  const controlMachines = seeds.map((_seed, index) =>
    createMachine('control', index),
  );
  const nodes = services.map((service, index) =>
    createMachine('node', controls + index, service),
  );
  for (const machine of machines) machine.start();

  return {
    folder,
    ports,
    controls: controlMachines,
    nodes,
    machines,
    hostOf,
    seeds,
    async stop({keep = false} = {}) {
      for (const machine of machines) {
        machine.signal('SIGCONT');
        machine.signal('SIGKILL');
      }
      await Promise.all(machines.map(machine => machine.exited()));
      if (!keep) rmSync(folder, {recursive: true, force: true});
    },
  };
}

/** Whether a machine answers the platform's readiness question with 200. */
export async function isReady(machine) {
  try {
    const answer = await fetch(`http://${machine.ready}/ready`, {
      signal: AbortSignal.timeout(1000),
    });
    await answer.text();
    return answer.status === 200;
  } catch {
    return false;
  }
}

/** Waits until all nodes are ready; false if they aren't in time. */
export async function waitUntilReady(machines, limit = 20_000) {
  const end = Date.now() + limit;
  while (Date.now() < end) {
    const answers = await Promise.all(machines.map(isReady));
    if (answers.every(Boolean)) return true;
    await pause(100);
  }
  return false;
}
