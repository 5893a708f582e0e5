import {createReadStream} from 'node:fs';
import {mkdtemp, writeFile} from 'node:fs/promises';
import {tmpdir} from 'node:os';
import {join} from 'node:path';
import {PassThrough} from 'node:stream';
import test from 'ava';
import type {ExecutionContext} from 'ava';
import {request} from 'undici';
import type {
  Deployment,
  DeployedInstance,
} from '../../bench/deployment/deployment.js';
import {setUp} from '../../bench/deployment/setup.js';
import {startSmallDeployment} from '../../bench/deployment/small-deployment.js';
import type {SmallDeploymentOptions} from '../../bench/deployment/small-deployment.js';
import {until} from '../../bench/deployment/until.js';
import {call, sha256} from '../../bench/demo/calls.js';
import type {Reply} from '../../bench/demo/calls.js';

/** Milliseconds. */
const waitTimeout = 60_000;
const chunks = 20;
const setUpFile = 'examples/agency/setup.fox';

async function start(
  t: ExecutionContext,
  options: Partial<SmallDeploymentOptions> = {},
): Promise<Deployment> {
  const deployment = await startSmallDeployment({
    controls: 3,
    services: [
      {name: 'crewbook', instances: 3},
      {name: 'drillvault', instances: 1},
    ],
    ...options,
  });
  t.teardown(deployment.killAll);
  await setUp(deployment, setUpFile);
  return deployment;
}

function crewbooks(deployment: Deployment): DeployedInstance[] {
  return deployment.instances.filter(({service}) => service === 'crewbook');
}

interface Counts {
  readonly runs: Readonly<Record<string, number>>;
  readonly begun: number;
  readonly cutUploads: number;
  readonly uploads: Readonly<Record<string, string>>;
}

async function countsOf(instance: DeployedInstance): Promise<Counts> {
  const answer = await request(`http://${instance.upstreamAddress}/counts`);
  return (await answer.body.json()) as Counts;
}

async function runsOf(deployment: Deployment, key: string): Promise<number> {
  const all = await Promise.all(crewbooks(deployment).map(countsOf));
  return all.reduce((sum, counts) => sum + (counts.runs[key] ?? 0), 0);
}

async function sendControl(
  instance: DeployedInstance,
  command: string,
): Promise<void> {
  const url = `http://${instance.upstreamAddress}/control/${command}`;
  const answer = await request(url, {method: 'POST'});
  await answer.body.dump();
}

function issue(
  instance: DeployedInstance,
  key: string,
): Promise<Reply | undefined> {
  return call(instance.settings.callerAddress, '/certificates', {
    method: 'POST',
    key,
    tag: key,
    body: Buffer.from('{"crew": 31}'),
  }).catch(() => undefined);
}

/** Finds the instance that runs a key's work, by the upstreams' counters. */
async function findRunning(
  deployment: Deployment,
  key: string,
): Promise<DeployedInstance> {
  let match: DeployedInstance | undefined;
  await until(`${key} runs`, waitTimeout, async () => {
    for (const instance of crewbooks(deployment)) {
      if ((await countsOf(instance)).runs[key] !== undefined) match = instance;
    }
    return match !== undefined;
  });
  return match!;
}

test.serial(
  'an issuance whose gate is killed during the run never runs again',
  async t => {
    // A caller issues a certificate. While the upstream processes it, the node
    // beside it is killed and the answer is lost. Resends through the other
    // nodes with the same key must get the effect unknown.
    const deployment = await start(t, {work: 1500});
    const entry = deployment.instances.find(
      ({service}) => service === 'drillvault',
    )!;
    const first = issue(entry, 'cert-1');
    const instance = await findRunning(deployment, 'cert-1');
    instance.node.signal('SIGKILL');
    const reply = await first;
    t.is(reply?.effect, 'unknown');
    const others = crewbooks(deployment).filter(other => other !== instance);
    for (const other of others) {
      const resend = await issue(other, 'cert-1');
      t.is(resend?.effect, 'unknown', JSON.stringify(resend));
    }
    t.is(await runsOf(deployment, 'cert-1'), 1);
  },
);

test.serial(
  'a resend through another entry gets the answer after the first entry is killed',
  async t => {
    // The node that received the request is killed while the upstream processes
    // it. The caller resends through another node and must get the answer of
    // the only run.
    const deployment = await start(t, {work: 1500});
    const entry = deployment.instances.find(
      ({service}) => service === 'drillvault',
    )!;
    const first = issue(entry, 'cert-2');
    await findRunning(deployment, 'cert-2');
    entry.node.signal('SIGKILL');
    t.is(await first, undefined);
    const resend = await issue(crewbooks(deployment)[0]!, 'cert-2');
    t.is(resend?.status, 200, JSON.stringify(resend));
    t.is(await runsOf(deployment, 'cert-2'), 1);
  },
);

test.serial(
  'an issuance whose gate is killed after the run does not run again',
  async t => {
    // A certificate is issued and answered; then the node beside its upstream
    // is killed. A resend must get the answer that the keepers store.
    const deployment = await start(t);
    const entry = deployment.instances.find(
      ({service}) => service === 'drillvault',
    )!;
    const first = await issue(entry, 'cert-3');
    t.is(first?.status, 200);
    const instance = await findRunning(deployment, 'cert-3');
    instance.node.signal('SIGKILL');
    await instance.node.ended();
    const resend = await issue(entry, 'cert-3');
    t.true(resend?.body.equals(first!.body), JSON.stringify(resend));
    t.is(await runsOf(deployment, 'cert-3'), 1);
  },
);

test.serial(
  'an issuance whose answer is lost at the upstream has the effect unknown',
  async t => {
    // The upstream issues the certificate, and its connection breaks before the
    // answer. The caller must get the effect unknown, and a resend must not
    // run.
    const deployment = await start(t);
    for (const instance of crewbooks(deployment)) {
      await sendControl(instance, 'fault?kind=reset-before-head&count=1');
    }
    const entry = crewbooks(deployment)[0]!;
    const first = await issue(entry, 'cert-4');
    t.is(first?.effect, 'unknown');
    const resend = await issue(crewbooks(deployment)[1]!, 'cert-4');
    t.is(resend?.effect, 'unknown');
    t.is(await runsOf(deployment, 'cert-4'), 1);
  },
);

test.serial('a truncated record is a visible error', async t => {
  // The upstream's connection ends in the middle of a record. The caller's
  // client must fail, or get the effect unknown if no byte was forwarded yet. A
  // partial record must never look like a complete short one.
  const deployment = await start(t);
  const entry = deployment.instances.find(
    ({service}) => service === 'drillvault',
  )!;
  for (const kind of ['cut', 'length', 'reset-after-head']) {
    for (const instance of crewbooks(deployment)) {
      await sendControl(instance, `fault?kind=${kind}&count=1`);
    }
    const lookup = call(entry.settings.callerAddress, '/records/crew-1');
    const reply = await lookup.catch(() => undefined);
    t.true(reply === undefined || reply.effect === 'unknown', kind);
    for (const instance of crewbooks(deployment)) {
      await sendControl(instance, 'fault?kind=cut&count=0');
    }
  }
});

test.serial('a graceful stop interrupts no request in progress', async t => {
  // A caller uploads a large video through a node, and others send lookups over
  // kept-alive connections. The node is stopped gracefully. The upload must be
  // stored completely, no lookup through another node may fail, and the node
  // must exit with 0.
  const deployment = await start(t);
  const [stopped, other] = crewbooks(deployment);
  const body = new PassThrough();
  const chunk = Buffer.alloc(64 * 1024, 'video');
  const length = String(chunks * chunk.length);
  const upload = request(
    `http://${stopped!.settings.callerAddress}/videos/drill-1`,
    {method: 'PUT', body, headers: {'content-length': length}},
  );
  body.write(chunk);
  const drillvault = deployment.instances.find(
    ({service}) => service === 'drillvault',
  )!;
  await until('the upload has begun', waitTimeout, async () => {
    const answer = await request(`http://${drillvault.upstreamAddress}/load`);
    const {running} = (await answer.body.json()) as {running: number};
    return running > 0;
  });

  const ending = stopped!.node.stop();
  const statuses = new Map<number, number>();
  for (let written = 1; written < chunks; written++) {
    for (let number = 0; number < 3; number++) {
      const path = `/records/${written}-${number}`;
      const reply = await call(other!.settings.callerAddress, path);
      statuses.set(reply.status, (statuses.get(reply.status) ?? 0) + 1);
    }
    body.write(chunk);
  }
  t.deepEqual([...statuses], [[200, 3 * (chunks - 1)]]);
  body.end();
  const answer = await upload;
  t.is(answer.statusCode, 200);
  const stored = (await answer.body.json()) as {received: string};
  t.is(stored.received, sha256(Buffer.concat(Array(chunks).fill(chunk))));
  t.is(await ending, 0);
});

test.serial(
  'requests are served while all control processes are down',
  async t => {
    // All control processes are killed at once. Lookups and issuances must
    // still be served through every node, and a resend must get the first
    // answer. A node that starts now has no configuration that is proved fresh,
    // so it must refuse requests as not run.
    const deployment = await start(t);
    for (const control of deployment.controls) control.signal('SIGKILL');
    await Promise.all(deployment.controls.map(control => control.ended()));
    for (const instance of deployment.instances) {
      const reply = await call(
        instance.settings.callerAddress,
        '/records/crew-2',
      );
      t.is(reply.status, 200);
    }
    const [one, two] = crewbooks(deployment);
    const first = await issue(one!, 'cert-5');
    t.is(first?.status, 200, JSON.stringify(first));
    const resend = await issue(two!, 'cert-5');
    t.true(resend?.body.equals(first!.body));

    two!.node.signal('SIGKILL');
    await two!.node.ended();
    deployment.restart(two!.settings.name);
    let fresh: Reply | undefined;
    await until('the restarted node answers', waitTimeout, async () => {
      fresh = await call(two!.settings.callerAddress, '/records/x').catch(
        () => undefined,
      );
      return fresh !== undefined;
    });
    t.is(fresh!.effect, 'not-run');
    t.is(fresh!.code, 5000);
  },
);

test.serial('a resent upload is stored completely', async t => {
  // The upstream's connection breaks once in the middle of a large upload. The
  // caller must get the effect unknown, and its resend must be stored
  // completely.
  const deployment = await start(t);
  const folder = await mkdtemp(join(tmpdir(), 'foxbarrow-upload-'));
  const bytes = Buffer.alloc(4 * 1024 * 1024, 'evacuation');
  await writeFile(join(folder, 'video'), bytes);
  const drillvault = deployment.instances.find(
    ({service}) => service === 'drillvault',
  )!;
  const put = () =>
    request(
      `http://${crewbooks(deployment)[0]!.settings.callerAddress}/videos/v`,
      {
        method: 'PUT',
        body: createReadStream(join(folder, 'video')),
        headers: {'content-length': String(bytes.length)},
      },
    );
  await sendControl(drillvault, 'fault?kind=reset-before-head&count=1');
  const first = await put();
  t.is(first.headers['foxbarrow-effect'], 'unknown');
  await first.body.dump();
  const second = await put();
  t.is(second.statusCode, 200);
  await second.body.dump();
  const counts = await countsOf(drillvault);
  t.is(counts.uploads['/videos/v'], sha256(bytes));
});
