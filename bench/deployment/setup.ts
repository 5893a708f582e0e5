/** Brings a started deployment to where callers can use it. */
import {resolve} from 'node:path';
import {createOperatorClient} from '../../src/operator/create-operator-client.js';
import type {OperatorClient} from '../../src/operator/create-operator-client.js';
import {createTimers} from '../../src/time/timers.js';
import type {Deployment} from './deployment.js';
import {until} from './until.js';

const limit = 60_000;

/** A client of all control processes, or of those named by index. */
export function connectOperator(
  deployment: Deployment,
  indexes?: readonly number[],
): OperatorClient {
  const addresses = deployment.controlSettings
    .filter((_, index) => indexes?.includes(index) ?? true)
    .map(({operatorAddress}) => operatorAddress);
  return createOperatorClient({
    addresses,
    timers: createTimers(),
    timeout: limit,
  });
}

/** Waits for a leader; gives its index. */
export async function findLeader(deployment: Deployment): Promise<number> {
  const client = connectOperator(deployment);
  let leader = -1;
  await until('the control group has a leader', limit, async () => {
    const views = await client.control();
    leader = views.findIndex(view => view.ok && view.value.role === 'leader');
    return leader >= 0;
  });
  await client.close();
  return leader;
}

/** Applies a file of commands and waits until all nodes have them. */
export async function setUp(
  deployment: Deployment,
  file: string,
): Promise<void> {
  await findLeader(deployment);
  const applied = await deployment.operate('apply', `"${resolve(file)}"`);
  if (applied.code !== 0) throw new Error(applied.errors);
  const version = /version (\d+)/.exec(applied.output)?.[1] ?? '0';
  const client = connectOperator(deployment);
  await until('all nodes are known', limit, async () => {
    const reply = await client.inForce();
    return (
      reply.ok && reply.value.summary.nodes === deployment.instances.length
    );
  });
  await waitFor(client, Number(version));
  let appointed: number | undefined;
  await until('each service has its keepers', limit, async () => {
    appointed = await findKeepers(client, deployment);
    return appointed !== undefined;
  });
  await waitFor(client, appointed!);
  await client.close();
}

/** Waits until all nodes have a version. */
async function waitFor(client: OperatorClient, version: number): Promise<void> {
  const waited = await client.wait(version, limit);
  if (!waited.ok) throw new Error(waited.refusal.message);
  if (!waited.value.inForce) throw new Error(`version ${version} not in force`);
}

/**
 * The version in which the leader has appointed who keeps each service's claims;
 * a node takes keyed work once it has that in force.
 */
async function findKeepers(
  client: OperatorClient,
  deployment: Deployment,
): Promise<number | undefined> {
  const names = new Set(deployment.instances.map(({service}) => service));
  const reply = await client.items('service');
  if (!reply.ok) return undefined;
  const kept = reply.value.items.filter(
    ({kind, value}) =>
      kind === 'service' && names.has(value.name) && value.keepers,
  );
  return kept.length === names.size ? reply.value.version : undefined;
}
