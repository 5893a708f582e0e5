import {writeFile} from 'node:fs/promises';
import {join} from 'node:path';
import test from 'ava';
import type {ExecutionContext} from 'ava';
import {foxbarrowCommand} from '../../bench/deployment/deployment.js';
import type {Deployment} from '../../bench/deployment/deployment.js';
import {reservePorts} from '../../bench/deployment/ports.js';
import {startProgram} from '../../bench/deployment/program.js';
import {connectOperator, findLeader} from '../../bench/deployment/setup.js';
import {startSmallDeployment} from '../../bench/deployment/small-deployment.js';
import {until} from '../../bench/deployment/until.js';
import type {OperatorClient} from '../../src/operator/create-operator-client.js';
import {createOperatorClient} from '../../src/operator/create-operator-client.js';
import {createTimers} from '../../src/time/timers.js';
import {putService} from './put-service.js';

/** Milliseconds. */
const waitTimeout = 60_000;
const nodes = 3;

/**
 * Starts a fourth control process, which is not in the settings of the others.
 */
async function startFourth(t: ExecutionContext, {data, ...rest}: Deployment) {
  const ports = await reservePorts();
  const [founder] = rest.controlSettings;
  const self = {
    name: 'control-4',
    peerAddress: ports.nextAddress(),
    operatorAddress: ports.nextAddress(),
    distributionAddress: ports.nextAddress(),
    failureDomain: founder!.failureDomain,
  };
  const settings = {
    ...founder!,
    ...self,
    adminAddress: ports.nextAddress(),
    dataFolder: 'data/control-4',
    members: [...founder!.members, self],
  };
  const file = join(data, 'control-4.json');
  await writeFile(file, JSON.stringify(settings));
  const command = [...foxbarrowCommand(), 'control', file];
  const program = startProgram({name: self.name, command, folder: data});
  t.teardown(async () => {
    await program.stop();
    ports.release();
  });
  return settings;
}

async function isAccepted(client: OperatorClient, name: string) {
  const reply = await client.change(putService(name));
  return reply.ok && reply.value.code === 1000;
}

test.serial(
  'operators and nodes reach a member that replaced a founding member',
  async t => {
    // control-4 replaces control-1. control-2 is killed and misses a change,
    // then control-3 stops and control-2 returns, so only control-4 can lead. A
    // client that has only the address of control-2 must be redirected to
    // control-4, although the settings of control-2 do not contain it. Each of
    // the two must count the nodes of the other.
    const deployment = await startSmallDeployment({
      controls: 3,
      services: [{name: 'crewbook', instances: nodes}],
    });
    t.teardown(deployment.stop);
    await findLeader(deployment);
    const fourth = await startFourth(t, deployment);
    const {name, peerAddress, failureDomain} = fourth;
    await until('control-4 is a member', waitTimeout, async () => {
      const {code} = await deployment.operate(
        ...['replace', 'control', 'control-1', 'with', name],
        ...['at', peerAddress, 'in', failureDomain],
      );
      return code === 0;
    });
    await deployment.controls[0]!.stop();

    deployment.controls[1]!.signal('SIGKILL');
    await deployment.controls[1]!.ended();
    const atThird = connectOperator(deployment, [2]);
    t.true(await isAccepted(atThird, 'missed-by-control-2'));
    await atThird.close();
    await deployment.controls[2]!.stop();
    deployment.restart('control-2');

    const atSecond = connectOperator(deployment, [1]);
    await until('control-2 follows control-4', waitTimeout, async () => {
      const [view] = await atSecond.control();
      return view!.ok && view!.value.leader === name;
    });
    t.true(await isAccepted(atSecond, 'sent-on-to-control-4'));
    await atSecond.close();

    for (const address of [
      fourth.operatorAddress,
      deployment.controlSettings[1]!.operatorAddress,
    ]) {
      const client = createOperatorClient({
        addresses: [address],
        timers: createTimers(),
      });
      await until(
        `all nodes are counted at ${address}`,
        waitTimeout,
        async () => {
          const reply = await client.inForce();
          if (!reply.ok) return false;
          const {inForce, version} = reply.value.summary;
          return version > 0 && inForce === nodes;
        },
      );
      await client.close();
    }
  },
);
