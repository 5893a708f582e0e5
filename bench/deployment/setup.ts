/** Configures a started deployment so that it can serve callers. */
import {resolve} from 'node:path';
import {createOperatorClient} from '../../src/operator/create-operator-client.js';
import type {OperatorClient} from '../../src/operator/create-operator-client.js';
import {createTimers} from '../../src/time/timers.js';
import type {Deployment} from './deployment.js';
import {until} from './until.js';

/** Milliseconds that each step may take. */
const timeout = 60_000;

/** Connects to all control processes, or to those with the given indexes. */
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
    timeout,
  });
}

/** Waits for a leader; returns its index. */
export async function findLeader(deployment: Deployment): Promise<number> {
  const client = connectOperator(deployment);
  let leader = -1;
  await until('the control group has a leader', timeout, async () => {
    const views = await client.control();
    leader = views.findIndex(view => view.ok && view.value.role === 'leader');
    return leader >= 0;
  });
  await client.close();
  return leader;
}

/**
 * Applies a file of commands and waits until they are in force at all nodes.
 */
export async function setUp(
  deployment: Deployment,
  file: string,
): Promise<void> {
  await findLeader(deployment);
  const applied = await deployment.operate('apply', `"${resolve(file)}"`);
  if (applied.code !== 0) throw new Error(applied.errors);
  const version = /version (\d+)/.exec(applied.output)?.[1] ?? '0';
  const client = connectOperator(deployment);
  await until('all nodes have registered', timeout, async () => {
    const view = await client.inForce();
    return view.ok && view.value.summary.nodes === deployment.instances.length;
  });
  await waitForVersion(client, Number(version));
  let assignedVersion: number | undefined;
  await until('each service has its keepers assigned', timeout, async () => {
    assignedVersion = await findAssignedVersion(client, deployment);
    return assignedVersion !== undefined;
  });
  await waitForVersion(client, assignedVersion!);
  await client.close();
}

/** Waits until a version is in force at all nodes. */
async function waitForVersion(
  client: OperatorClient,
  version: number,
): Promise<void> {
  const waited = await client.wait(version, timeout);
  if (!waited.ok) throw new Error(waited.refusal.message);
  if (!waited.value.inForce) throw new Error(`version ${version} not in force`);
}

/**
 * The version in which the keepers of all services are assigned. A node accepts
 * requests with idempotency keys once that version is in force there.
 */
async function findAssignedVersion(
  client: OperatorClient,
  deployment: Deployment,
): Promise<number | undefined> {
  const names = new Set(deployment.instances.map(({service}) => service));
  const reply = await client.items('service');
  if (!reply.ok) return undefined;
  const assigned = reply.value.items.filter(
    ({kind, value}) =>
      kind === 'service' && names.has(value.name) && value.keepers,
  );
  return assigned.length === names.size ? reply.value.version : undefined;
}
