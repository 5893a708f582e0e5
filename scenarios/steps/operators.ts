import assert from 'node:assert/strict';
import {putDrain, putService} from '../../src/configuration/fakes/sample.js';
import {commonCodes} from '../../src/result/codes.js';
import type {Cluster} from '../cluster.js';
import {createSteps} from '../step.js';

/** Steps of operators: changes, conflicts, resends and their answers. */
export const operatorSteps = createSteps<Cluster>();
const {action, check} = operatorSteps;

const accepted = commonCodes.ok.number;

/** The leader's state machine; waits for a leader. */
async function leaderMachine(cluster: Cluster) {
  await cluster.until('a leader', () => cluster.leader() !== undefined);
  return cluster.control(cluster.leader()!).life()!.machine;
}

function lastAnswers(cluster: Cluster, count: number) {
  const answers = cluster.answers.slice(-count);
  assert.equal(answers.length, count, `${count} answers were expected`);
  return answers;
}

action('{word} puts service {word}', async (cluster, operator, service) => {
  const command = cluster.prepare(operator, [putService(service)]);
  const answer = await cluster.submit(command);
  assert.equal(answer?.code, accepted, answer?.message ?? 'no answer');
  cluster.answers.push(answer);
});

action('{word} removes service {word}', async (cluster, operator, name) => {
  const edit = {action: 'remove', kind: 'service', name} as const;
  const answer = await cluster.submit(cluster.prepare(operator, [edit]));
  assert.equal(answer?.code, accepted, answer?.message ?? 'no answer');
  cluster.answers.push(answer);
});

action(
  '{word} drains instance {word} of {word}',
  async (cluster, operator, instance, service) => {
    const command = cluster.prepare(operator, [putDrain(instance, service)]);
    const answer = await cluster.submit(command);
    assert.equal(answer?.code, accepted, answer?.message ?? 'no answer');
    cluster.answers.push(answer);
  },
);

action('{word} makes {number} changes', async (cluster, operator, count) => {
  for (let number = 0; number < count; number++) {
    const edits = [putService(`service-${number % 20}`, number)];
    const answer = await cluster.submit(cluster.prepare(operator, edits));
    assert.equal(answer?.code, accepted, answer?.message ?? 'no answer');
    cluster.answers.push(answer);
  }
});

action(
  '{word} puts service {word} while {word} puts service {word}, both expecting version {number}',
  async (cluster, one, oneService, other, otherService, version) => {
    const commands = [
      cluster.prepare(one, [putService(oneService)], version),
      cluster.prepare(other, [putService(otherService)], version),
    ];
    const sent = commands.map(command => cluster.submit(command));
    cluster.answers.push(...(await Promise.all(sent)));
  },
);

action(
  '{word} puts service {word} while {word} puts service {word}, both without an expected version',
  async (cluster, one, oneService, other, otherService) => {
    const commands = [
      cluster.prepare(one, [putService(oneService)]),
      cluster.prepare(other, [putService(otherService)]),
    ];
    const sent = commands.map(command => cluster.submit(command));
    cluster.answers.push(...(await Promise.all(sent)));
  },
);

action(
  '{word} sends service {word} to {word}, which is killed before it answers',
  async (cluster, operator, service, name) => {
    const {consensus, machine} = cluster.control(name).life()!;
    const command = cluster.prepare(operator, [putService(service)]);
    const before = consensus.status().lastIndex;
    const entry = machine.prepare(command, cluster.timers.wall());
    void consensus.propose(entry);
    const followers = [...cluster.controls.keys()].filter(
      each => each !== name,
    );
    await cluster.until('the entry at a follower', () =>
      followers.some(
        each =>
          cluster.control(each).life()!.consensus.status().lastIndex > before,
      ),
    );
    cluster.control(name).kill();
  },
);

action('{word} sends service {word} to {word}', async (cluster, ...args) => {
  const [operator, service, name] = args;
  const command = cluster.prepare(operator, [putService(service)]);
  cluster.answers.push(await cluster.send(name, command));
});

action('{word} resends the command', async (cluster, operator) => {
  cluster.answers.push(await cluster.submit(cluster.commands.get(operator)!));
});

check('exactly one of the two is accepted', cluster => {
  const codes = lastAnswers(cluster, 2).map(answer => answer?.code);
  assert.equal(codes.filter(code => code === accepted).length, 1);
});

check('both are accepted', cluster => {
  const codes = lastAnswers(cluster, 2).map(answer => answer?.code);
  assert.deepEqual(codes, [accepted, accepted]);
});

check("the other answer gives the winner's version", cluster => {
  const answers = lastAnswers(cluster, 2);
  const winner = answers.find(answer => answer?.code === accepted);
  const loser = answers.find(answer => answer?.code !== accepted);
  assert.ok(loser !== undefined && winner !== undefined);
  assert.equal(loser.version, winner.version);
});

check('both resends get the same answer', cluster => {
  const [first, second] = lastAnswers(cluster, 2);
  assert.equal(first?.code, accepted);
  assert.deepEqual(second, first);
});

check('{word} got no answer', (cluster, operator) => {
  assert.ok(cluster.commands.has(operator));
  assert.equal(lastAnswers(cluster, 1)[0], undefined);
});

check('{number} services exist', async (cluster, count) => {
  const machine = await leaderMachine(cluster);
  assert.equal(machine.current().services.size, count);
});

check('service {word} exists', async (cluster, service) => {
  const machine = await leaderMachine(cluster);
  assert.ok(
    machine.current().services.has(service),
    'the service does not exist',
  );
});

check('service {word} does not exist', async (cluster, service) => {
  const machine = await leaderMachine(cluster);
  assert.ok(!machine.current().services.has(service), 'the service exists');
});

check('the history holds {number} changes', async (cluster, count) => {
  const machine = await leaderMachine(cluster);
  assert.equal(machine.history().length, count);
});

check("the last answer is {word}'s first one", (cluster, operator) => {
  assert.ok(cluster.commands.has(operator));
  assert.ok(cluster.answers[0] !== undefined, 'there was no first answer');
  assert.deepEqual(lastAnswers(cluster, 1)[0], cluster.answers[0]);
});
