/** Starts the project's programs on loopback addresses, with the settings of the deploy file's templates. */
import {spawn} from 'node:child_process';
import {
  createWriteStream,
  mkdirSync,
  readFileSync,
  writeFileSync,
} from 'node:fs';
import {createServer} from 'node:net';
import {join} from 'node:path';
import process from 'node:process';
import {setTimeout as sleep} from 'node:timers/promises';
import {URL, fileURLToPath} from 'node:url';

const root = fileURLToPath(new URL('../..', import.meta.url));
const program = join(root, 'target/foxbarrow');

/** Bounds of the small sites. */
export const smallBounds = {
  contact_s: 3,
  ack_s: 4,
  drain_s: 2,
  grace_s: 6,
  config_s: 2,
};

/** Renders the part of the platform's template language that the templates use. */
function render(template, fields) {
  const lookup = name =>
    name.split('.').reduce((value, key) => value?.[key], fields);
  return template
    .replace(
      /\{\{([#^])([\w.]+)\}\}([\s\S]*?)\{\{\/\2\}\}/g,
      (_all, kind, name, inner) => {
        const value = lookup(name);
        const isPresent = value !== undefined && value !== false;
        return isPresent === (kind === '#') ? inner : '';
      },
    )
    .replace(/\{\{([\w.]+)(\|json)?\}\}/g, (_all, name, json) => {
      const value = lookup(name);
      if (json) return JSON.stringify(value);
      return value === undefined ? '' : String(value);
    });
}

/** Whether a port is free at several loopback addresses. */
async function isFree(port, hosts) {
  for (const host of hosts) {
    const ok = await new Promise(resolve => {
      const server = createServer();
      server.once('error', () => resolve(false));
      server.listen(port, host, () => server.close(() => resolve(true)));
    });
    if (!ok) return false;
  }
  return true;
}

/** Picks a block of ports below the ephemeral range that is free at all hosts. */
async function pickPorts(hosts, count) {
  for (let tries = 0; tries < 200; tries++) {
    const base = 12000 + Math.floor(Math.random() * 1500) * 12;
    const ports = Array.from({length: count}, (_, index) => base + index);
    const free = await Promise.all(ports.map(port => isFree(port, hosts)));
    if (free.every(Boolean)) return ports;
  }
  throw new Error('no free ports');
}

/** Creates a deployment that is not started yet. */
export async function createDeployment({
  folder,
  cores = 3,
  sidecars,
  zones = ['hall-a', 'hall-b', 'hall-c'],
  bounds = smallBounds,
}) {
  const net = `127.${20 + Math.floor(Math.random() * 200)}.${Math.floor(Math.random() * 250)}`;
  const ipOf = index => `${net}.${10 + index}`;
  const total = cores + sidecars.length;
  const hosts = Array.from({length: total}, (_, index) => ipOf(index));
  const [
    ready,
    control,
    app,
    inbound,
    outbound,
    first,
    last,
    metrics,
    own,
    admin,
  ] = await pickPorts(hosts, 10);
  const seeds = hosts
    .slice(0, Math.min(3, cores))
    .map(ip => `${ip}:${control}`);
  const templates = {
    node: readFileSync(join(root, 'platform/node.json.template'), 'utf8'),
    control: readFileSync(join(root, 'platform/control.json.template'), 'utf8'),
  };
  const all = [];

  function makeMachine(role, index, zone, service) {
    const ip = ipOf(index);
    const name = `${role}-${index}`;
    const home = join(folder, name);
    mkdirSync(join(home, 'data'), {recursive: true});
    const fields = {
      node: name,
      ip,
      zone,
      region: 'astana',
      bootstrap: true,
      data_dir: join(home, 'data'),
      app_addr: `${ip}:${app}`,
      service,
      listen: {
        ready: `${ip}:${ready}`,
        control: `${ip}:${control}`,
        inbound: `${ip}:${inbound}`,
        outbound: `${ip}:${outbound}`,
      },
      port_range: [first, last],
      seeds,
      fault_tolerance: {machines: 1, zones: 0, regions: 0},
      limits: {link_mbps: 1000},
      bounds,
    };
    const machine = {role, name, ip, zone, service, fields, child: undefined};
    machine.ready = fields.listen.ready;
    machine.control = fields.listen.control;
    machine.outbound = fields.listen.outbound;
    machine.app = fields.app_addr;
    machine.start = (changes = {}) => {
      Object.assign(fields, changes);
      // All machines of the test share the address 127.0.0.1 and one metrics port.
      const text = render(templates[role], fields)
        .replace(`"127.0.0.1:${first}"`, `"${ip}:${own}"`)
        .replace(`"127.0.0.1:${last}"`, `"${ip}:${admin}"`)
        .replaceAll(':9464"', `:${metrics}"`);
      const settings = join(home, 'node.conf');
      writeFileSync(settings, text);
      const log = createWriteStream(join(home, 'log'), {flags: 'a'});
      const child = spawn(program, [role, settings], {
        cwd: root,
        env: {
          PATH: process.env.PATH,
          HOME: home,
          LANG: 'C.UTF-8',
          FOXBARROW_SETTINGS: settings,
        },
        stdio: ['ignore', 'pipe', 'pipe'],
      });
      child.stdout.pipe(log, {end: false});
      child.stderr.pipe(log, {end: false});
      machine.child = child;
      machine.isUp = true;
      child.once('exit', (code, signal) => {
        if (machine.child === child) {
          machine.isUp = false;
          machine.lastExit = {code, signal};
        }
      });
    };
    machine.signal = name => machine.child?.kill(name);
    machine.stopped = async () => {
      while (machine.isUp) await sleep(20);
    };
    all.push(machine);
    return machine;
  }

  const controls = Array.from({length: cores}, (_, index) =>
    makeMachine('control', index, zones[index % zones.length], undefined),
  );
  const nodes = sidecars.map((service, index) =>
    makeMachine('node', cores + index, zones[index % zones.length], service),
  );

  // Also where the case runs into its time limit, no process stays behind.
  process.on('exit', () => all.forEach(machine => machine.signal('SIGKILL')));
  for (const name of ['SIGTERM', 'SIGINT']) {
    process.on(name, () => process.exit(2));
  }

  return {
    controls,
    nodes,
    all,
    startAll: () => all.forEach(machine => machine.start()),
    end: async () => {
      for (const machine of all) {
        if (machine.isUp) {
          machine.signal('SIGCONT');
          machine.signal('SIGKILL');
        }
      }
      for (const machine of all) await machine.stopped();
    },
  };
}
