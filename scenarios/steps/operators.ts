import assert from 'node:assert/strict';
import {putDrain, putService} from '../../src/configuration/fakes/sample.js';
import {commonCodes} from '../../src/result/codes.js';
import type {Cluster} from '../cluster.js';
import {createSteps} from '../step.js';

/** Steps of operators: changes, races, resends and what they see. */
export const operatorSteps = createSteps<Cluster>();
const {action, check} = operatorSteps;

const accepted = commonCodes.ok.number;

/** The configuration of the VM that leads; waits for a leader. */
async function readLeader(stage: Cluster) {
  await stage.until('a leader', () => stage.leader() !== undefined);
  return stage.control(stage.leader()!).runningParts()!.machine;
}

function lastAnswers(stage: Cluster, count: number) {
  const answers = stage.answers.slice(-count);
  assert.equal(answers.length, count, `${count} answers were expected`);
  return answers;
}

action('{word} puts service {word}', async (stage, operator, service) => {
  const command = stage.prepare(operator, [putService(service)]);
  const answer = await stage.submit(command);
  assert.equal(answer?.code, accepted, answer?.message ?? 'no answer');
  stage.answers.push(answer);
});

action('{word} removes service {word}', async (stage, operator, name) => {
  const edit = {action: 'remove', kind: 'service', name} as const;
  const answer = await stage.submit(stage.prepare(operator, [edit]));
  assert.equal(answer?.code, accepted, answer?.message ?? 'no answer');
  stage.answers.push(answer);
});

action(
  '{word} drains instance {word} of {word}',
  async (stage, operator, instance, service) => {
    const command = stage.prepare(operator, [putDrain(instance, service)]);
    const answer = await stage.submit(command);
    assert.equal(answer?.code, accepted, answer?.message ?? 'no answer');
    stage.answers.push(answer);
  },
);

action('{word} makes {number} changes', async (stage, operator, count) => {
  for (let number = 0; number < count; number++) {
    const edits = [putService(`service-${number % 20}`, number)];
    const answer = await stage.submit(stage.prepare(operator, edits));
    assert.equal(answer?.code, accepted, answer?.message ?? 'no answer');
    stage.answers.push(answer);
  }
});

action(
  '{word} puts service {word} while {word} puts service {word}, both expecting version {number}',
  async (stage, one, oneService, other, otherService, version) => {
    const commands = [
      stage.prepare(one, [putService(oneService)], version),
      stage.prepare(other, [putService(otherService)], version),
    ];
    const sent = commands.map(command => stage.submit(command));
    stage.answers.push(...(await Promise.all(sent)));
  },
);

action(
  '{word} puts service {word} while {word} puts service {word}, both expecting nothing',
  async (stage, one, oneService, other, otherService) => {
    const commands = [
      stage.prepare(one, [putService(oneService)]),
      stage.prepare(other, [putService(otherService)]),
    ];
    const sent = commands.map(command => stage.submit(command));
    stage.answers.push(...(await Promise.all(sent)));
  },
);

action(
  '{word} sends service {word} to {word}, which dies before it answers',
  async (stage, operator, service, name) => {
    const {consensus, machine} = stage.control(name).runningParts()!;
    const command = stage.prepare(operator, [putService(service)]);
    const before = consensus.status().lastIndex;
    const entry = machine.prepare(command, stage.timers.wall());
    void consensus.propose(entry);
    const followers = [...stage.controls.keys()].filter(each => each !== name);
    await stage.until('a copy at a follower', () =>
      followers.some(
        each =>
          stage.control(each).runningParts()!.consensus.status().lastIndex > before,
      ),
    );
    stage.control(name).kill();
  },
);

action('{word} sends service {word} to {word}', async (stage, ...args) => {
  const [operator, service, name] = args;
  const command = stage.prepare(operator, [putService(service)]);
  stage.answers.push(await stage.send(name, command));
});

action('{word} resends that command', async (stage, operator) => {
  stage.answers.push(await stage.submit(stage.commands.get(operator)!));
});

check('exactly one of the two is accepted', stage => {
  const codes = lastAnswers(stage, 2).map(answer => answer?.code);
  assert.equal(codes.filter(code => code === accepted).length, 1);
});

check('both are accepted', stage => {
  const codes = lastAnswers(stage, 2).map(answer => answer?.code);
  assert.deepEqual(codes, [accepted, accepted]);
});

check("the other is told the winner's version", stage => {
  const answers = lastAnswers(stage, 2);
  const winner = answers.find(answer => answer?.code === accepted);
  const loser = answers.find(answer => answer?.code !== accepted);
  assert.ok(loser !== undefined && winner !== undefined);
  assert.equal(loser.version, winner.version);
});

check('both resends get the same answer', stage => {
  const [first, second] = lastAnswers(stage, 2);
  assert.equal(first?.code, accepted);
  assert.deepEqual(second, first);
});

check('{word} got no answer', (stage, operator) => {
  assert.ok(stage.commands.has(operator));
  assert.equal(lastAnswers(stage, 1)[0], undefined);
});

check('{number} services exist', async (stage, count) => {
  const machine = await readLeader(stage);
  assert.equal(machine.current().services.size, count);
});

check('service {word} exists', async (stage, service) => {
  const machine = await readLeader(stage);
  assert.ok(machine.current().services.has(service), 'it does not exist');
});

check('service {word} is lost', async (stage, service) => {
  const machine = await readLeader(stage);
  assert.ok(!machine.current().services.has(service), 'it exists');
});

check('the history holds {number} changes', async (stage, count) => {
  const machine = await readLeader(stage);
  assert.equal(machine.history().length, count);
});

check("the last answer is {word}'s first one", (stage, operator) => {
  assert.ok(stage.commands.has(operator));
  assert.ok(stage.answers[0] !== undefined, 'there was no first answer');
  assert.deepEqual(lastAnswers(stage, 1)[0], stage.answers[0]);
});
