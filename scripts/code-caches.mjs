// Records a code cache for each role: runs a small deployment on loopback,
// changes its configuration, sends requests, and stops it.
import {spawn} from 'node:child_process';
import {once} from 'node:events';
import {mkdtempSync, rmSync, writeFileSync} from 'node:fs';
import {createServer} from 'node:http';
import {createServer as createTcpServer} from 'node:net';
import {join, resolve} from 'node:path';
import process from 'node:process';
import {setTimeout as delay} from 'node:timers/promises';

/** Requests that the node sends through itself at its start. */
const warmUpRequests = 400;

/** Requests from a caller; each loads the code of entry, gate and upstream. */
const callerRequests = 40;

const stepTimeout = 30_000;

/** The caches; commands other than those of a role use the operator's. */
export const codeCaches = ['control', 'relay', 'node', 'operator'];

/** Ports that are free now. */
async function findAddresses(count) {
  const servers = Array.from({length: count}, () => createTcpServer());
  for (const server of servers) {
    server.listen(0, '127.0.0.1');
    await once(server, 'listening');
  }
  const addresses = servers.map(server => `127.0.0.1:${server.address().port}`);
  for (const server of servers) {
    server.close();
    await once(server, 'close');
  }
  return addresses;
}

async function startUpstream() {
  const server = createServer((request, response) => {
    request.resume();
    response.end('ok');
  });
  server.listen(0, '127.0.0.1');
  await once(server, 'listening');
  return {server, address: `127.0.0.1:${server.address().port}`};
}

async function createSettings(upstream) {
  const [peer, operator, distribution, relay, caller, gate, keeper, ...admins] =
    await findAddresses(10);
  const place = {region: 'region', failureDomain: 'domain'};
  const member = {
    name: 'control-1',
    peerAddress: peer,
    operatorAddress: operator,
    distributionAddress: distribution,
    failureDomain: place.failureDomain,
  };
  return {
    control: {
      role: 'control',
      ...place,
      ...member,
      dataFolder: 'data',
      adminAddress: admins[0],
      members: [member],
    },
    relay: {
      role: 'relay',
      name: 'relay-1',
      ...place,
      distributionAddress: relay,
      adminAddress: admins[1],
      sources: [distribution],
      relays: [relay],
    },
    node: {
      role: 'node',
      name: 'node-1',
      ...place,
      callerAddress: caller,
      gateAddress: gate,
      keeperAddress: keeper,
      adminAddress: admins[2],
      homes: [relay],
      warmUpRequests,
      upstream: {
        service: 'sample',
        address: upstream,
        slots: 8,
        connections: 8,
      },
    },
  };
}

/** Starts a recorded process; `waitFor` resolves once it has logged a text. */
function startRecorded(bundle, folder, cache, parameters) {
  const child = spawn(
    process.execPath,
    [
      resolve('scripts/record-code.cjs'),
      resolve(bundle),
      resolve(`${bundle}.${cache}`),
      ...parameters,
    ],
    {cwd: folder, stdio: ['ignore', 'pipe', 'pipe']},
  );
  let output = '';
  for (const stream of [child.stdout, child.stderr]) {
    stream.on('data', chunk => (output += chunk));
  }
  const ended = once(child, 'exit');

  async function waitFor(text) {
    const until = Date.now() + stepTimeout;
    while (!output.includes(text)) {
      if (Date.now() > until || child.exitCode !== null) {
        child.kill('SIGKILL');
        throw new Error(`${cache} did not log "${text}": ${output}`);
      }
      await delay(20);
    }
  }

  async function stop() {
    child.kill('SIGTERM');
    await checkExit();
  }

  async function checkExit() {
    const [code] = await ended;
    if (code !== 0) throw new Error(`${cache} failed (${code}): ${output}`);
  }

  return {waitFor, stop, checkExit, kill: () => child.kill('SIGKILL')};
}

/**
 * Sends requests of a caller. Their statuses are not checked, as the protocol of
 * a platform may reject the answers of the sample upstream; the warm-up of the
 * node sends requests that follow it.
 */
async function sendRequests(address) {
  for (let number = 0; number < callerRequests; number++) {
    const body = number % 2 === 0 ? undefined : 'sample';
    const method = body === undefined ? 'GET' : 'POST';
    const response = await globalThis.fetch(
      `http://${address}/sample/${number}`,
      {
        method,
        body,
      },
    );
    await response.arrayBuffer();
  }
}

/** Writes `BUNDLE.CACHE` for each of `codeCaches`. */
export async function recordCodeCaches(bundle) {
  const folder = mkdtempSync(join(resolve(bundle, '..'), 'recording-'));
  const upstream = await startUpstream();
  const settings = await createSettings(upstream.address);
  const started = [];

  function start(cache, parameters) {
    const one = startRecorded(bundle, folder, cache, parameters);
    started.push(one);
    return one;
  }

  function startRole(role) {
    const file = join(folder, `${role}.json`);
    writeFileSync(file, JSON.stringify(settings[role]));
    return start(role, [role, file]);
  }

  try {
    const control = startRole('control');
    await control.waitFor('"role":"leader"');
    const relay = startRole('relay');
    const node = startRole('node');
    await node.waitFor('code warmed up');
    await node.waitFor('configuration in force');
    const operator = start('operator', [
      ...['--control', settings.control.operatorAddress],
      ...['--operator', 'build'],
      'put service sample; put policy sample deadline 5s attempts 2 repeat idempotent objective 99% within 1s; put route sample prefix /sample methods GET,POST to sample under sample',
    ]);
    await operator.checkExit();
    await node.waitFor('"routes":1');
    await sendRequests(settings.node.callerAddress);
    for (const one of [node, relay, control]) await one.stop();
  } finally {
    for (const one of started) one.kill();
    upstream.server.close();
    upstream.server.closeAllConnections();
    rmSync(folder, {recursive: true, force: true});
  }
}
