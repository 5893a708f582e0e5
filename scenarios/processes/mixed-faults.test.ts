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

/** Milliseconds. */
const waitTimeout = 60_000;

/** Runs per idempotency key, over all upstreams; no upstream is killed. */
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

/** Kills and stops processes one after the other; waits for each to recover. */
async function injectFaults(deployment: Deployment): Promise<void> {
  const [first, second, third] = deployment.instances;
  first!.node.signal('SIGKILL');
  await first!.node.ended();
  deployment.restart(first!.settings.name);
  await until('the killed node serves', waitTimeout, () =>
    isServing(first!.settings.callerAddress),
  );
  const leader = await findLeader(deployment);
  deployment.controls[leader]!.signal('SIGKILL');
  await deployment.controls[leader]!.ended();
  await deployment.operate('drain', third!.settings.name, 'of', 'crewbook');
  deployment.restart(deployment.controlSettings[leader]!.name);
  await second!.node.stop();
  deployment.restart(second!.settings.name);
  await until('the stopped node serves', waitTimeout, () =>
    isServing(second!.settings.callerAddress),
  );
  await deployment.operate('undrain', third!.settings.name);
}

test.serial(
  'under mixed faults no answer is wrong and no refused issuance ran',
  async t => {
    // Callers send lookups, gate checks and issuances through every node while
    // a node and the leader are killed, another node is stopped and an instance
    // is drained. An issuance that was answered must have run once, one that
    // was refused as not run must not have run, and no other may have run more
    // than once. No request may get the answer to another one.
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
        targets: deployment.instances.map(
          ({settings}) => settings.callerAddress,
        ),
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
    await injectFaults(deployment);
    const summary = await load;
    t.log({...summary.endings, sent: summary.sent});
    t.is(summary.endings.wrong, 0);

    const runs = await countRuns(deployment);
    const issuances = outcomes.filter(({call}) => call.kind === 'certificate');
    const isComplete = ({ending}: Outcome) => ending === 'whole';
    const isRefused = ({effect}: Outcome) => effect === 'not-run';
    t.true(issuances.filter(isComplete).length > 100);
    const isWrong = (outcome: Outcome) => {
      const count = runs.get(outcome.tag) ?? 0;
      if (isComplete(outcome)) return count !== 1;
      return isRefused(outcome) ? count !== 0 : count > 1;
    };
    t.deepEqual(issuances.filter(isWrong), []);
    const client = connectOperator(deployment);
    t.true((await client.items('service')).ok);
    await client.close();
  },
);
