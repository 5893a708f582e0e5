import test from 'ava';
import {request} from 'undici';
import {runLoad} from '../../bench/callers/load.js';
import type {Outcome} from '../../bench/callers/load.js';
import type {Deployment} from '../../bench/deployment/deployment.js';
import {
  connectOperator,
  findLeader,
  setUp,
} from '../../bench/deployment/setup.js';
import {startSmallDeployment} from '../../bench/deployment/small-deployment.js';
import {until} from '../../bench/deployment/until.js';
import {call} from '../../bench/demo/calls.js';
import {createRandom} from '../../src/random/random.js';
import {createTimers} from '../../src/time/timers.js';

const limit = 60_000;

/** Runs of all keys, over all stand-ins; none of them is killed. */
async function countRuns(deployment: Deployment): Promise<Map<string, number>> {
  const runs = new Map<string, number>();
  for (const {upstreamAddress} of deployment.instances) {
    const answer = await request(`http://${upstreamAddress}/counts`);
    const counts = (await answer.body.json()) as {
      runs: {[key: string]: number};
    };
    for (const [key, count] of Object.entries(counts.runs)) {
      runs.set(key, (runs.get(key) ?? 0) + count);
    }
  }
  return runs;
}

async function isServing(address: string): Promise<boolean> {
  const reply = await call(address, '/records/x').catch(() => undefined);
  return reply?.status === 200;
}

/** Kills and stops processes in turn, each time until all is well again. */
async function disturb(deployment: Deployment): Promise<void> {
  const [first, second, third] = deployment.instances;
  first!.node.signal('SIGKILL');
  await first!.node.ended();
  deployment.restart(first!.settings.name);
  await until('the killed node serves', limit, () =>
    isServing(first!.settings.callerAddress),
  );
  const leader = await findLeader(deployment);
  deployment.controls[leader]!.signal('SIGKILL');
  await deployment.controls[leader]!.ended();
  await deployment.operate('drain', third!.settings.name, 'of', 'crewbook');
  deployment.restart(deployment.controlSettings[leader]!.name);
  await second!.node.stop();
  deployment.restart(second!.settings.name);
  await until('the stopped node serves', limit, () =>
    isServing(second!.settings.callerAddress),
  );
  await deployment.operate('undrain', third!.settings.name);
}

test.serial(
  'under mixed faults no answer is wrong and each refusal is true',
  async t => {
    // Schedulers look up, check gates and issue certificates through every node
    // while nodes and the leader are killed, a node is stopped and an instance
    // drained. An issuance that was answered ran once; one that was refused as
    // not run did not run; no other ran more than once; no answer is another's.
    const deployment = await startSmallDeployment({
      controls: 3,
      services: [
        {name: 'crewbook', instances: 4},
        {name: 'drillvault', instances: 3},
      ],
    });
    t.teardown(deployment.stop);
    await setUp(deployment, 'examples/agency/setup.fox');
    const outcomes: Outcome[] = [];
    const timers = createTimers();
    const load = runLoad(
      {
        targets: deployment.instances.map(({settings}) => settings.callerAddress),
        rate: 100,
        count: 3000,
        duration: 30_000,
        mix: [
          {kind: 'certificate', weight: 2},
          {kind: 'record-lookup', weight: 2},
          {kind: 'gate-check', weight: 1},
        ],
        uploadBytes: 1000,
        timeout: 8000,
        openLimit: 500,
        name: 'mixed',
        random: createRandom(7),
        timers,
      },
      outcome => outcomes.push(outcome),
    );
    await disturb(deployment);
    const summary = await load;
    t.log({...summary.endings, sent: summary.sent});
    t.is(summary.endings.wrong, 0);

    const runs = await countRuns(deployment);
    const issuances = outcomes.filter(({call}) => call.kind === 'certificate');
    const isWhole = ({ending}: Outcome) => ending === 'whole';
    const isRefused = ({effect}: Outcome) => effect === 'not-run';
    t.true(issuances.filter(isWhole).length > 100);
    const wrongly = (outcome: Outcome) => {
      const count = runs.get(outcome.tag) ?? 0;
      if (isWhole(outcome)) return count !== 1;
      return isRefused(outcome) ? count !== 0 : count > 1;
    };
    t.deepEqual(issuances.filter(wrongly), []);
    const client = connectOperator(deployment);
    t.true((await client.items('service')).ok);
    await client.close();
  },
);
