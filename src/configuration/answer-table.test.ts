import test from 'ava';
import {createFakeGroup} from '../consensus/fakes/fake-consensus.js';
import type {FakeGroup} from '../consensus/fakes/fake-consensus.js';
import {configurationCodes as codes} from './codes.js';
import type {
  ConfigurationMachine,
  MachineSafeguards,
} from './create-configuration-machine.js';
import {decodeAnswer} from './log-entry.js';
import {
  createLoggedMachine,
  createSampleMachine,
  putService,
} from './fakes/sample.js';
import type {Answer, Command} from './messages.js';

const names = ['control-1', 'control-2', 'control-3'];

type Group = FakeGroup<ConfigurationMachine>;

async function propose(
  group: Group,
  name: string,
  command: Command,
): Promise<Answer | undefined> {
  const entry = group.machine(name).prepare(command, 1000);
  const proposed = await group.member(name).propose(entry);
  return proposed.ok ? decodeAnswer(proposed.value) : undefined;
}

function createGroup(safeguards: Partial<MachineSafeguards> = {}): Group {
  return createFakeGroup(names, () => createSampleMachine({}, safeguards));
}

const command = (sequence: number, expectedVersion?: number): Command => ({
  operator: 'amina',
  sequence,
  expectedVersion,
  edits: [putService('crewbook', sequence)],
});

/** Commits a change that expects version 1 and loses its answer. */
async function loseAnswer(group: Group): Promise<void> {
  await propose(group, 'control-1', command(1));
  group.planOutcomes('commit-and-lose');
  await propose(group, 'control-1', command(2, 1));
}

// Failure: a resend is refused as a conflict with its own first run. A change
// that expects version 1 is accepted as version 2, its answer is lost with the
// leader, and the operator resends it to the next leader. The answer must be
// version 2; without the table the expected version is compared with version 2.
for (const [name, prepare] of [
  ['a leader change', (group: Group) => group.lead('control-2')],
  [
    'a snapshot and a restart',
    (group: Group) => {
      group.restart('control-2', 2);
      group.lead('control-2');
    },
  ],
  [
    'a restart from the log',
    (group: Group) => {
      group.restart('control-2');
      group.lead('control-2');
    },
  ],
] as const) {
  test(`a resend gets its first answer across ${name}`, async t => {
    const group = createGroup();
    await loseAnswer(group);
    prepare(group);
    const again = await propose(group, 'control-2', command(2, 1));
    t.deepEqual(again, {code: 1000, message: 'accepted', version: 2});
    t.is(group.machine('control-2').current().version, 2);

    const without = createGroup({answers: false});
    await loseAnswer(without);
    prepare(without);
    const wrong = await propose(without, 'control-2', command(2, 1));
    t.is(wrong?.code, codes.conflict.number);
  });
}

// Failure: a change is overwritten without notice. Several operators change
// version 1 in different ways. The first change in the log is accepted, and the
// others are refused with its version. Without an expected version all are
// accepted.
test('of competing changes to one version exactly one is accepted', async t => {
  const operators = ['amina', 'daulet', 'salim'];
  const race = async (expectedVersion?: number) => {
    const group = createGroup();
    await propose(group, 'control-1', command(1));
    return Promise.all(
      operators.map((operator, index) =>
        propose(group, 'control-1', {
          operator,
          sequence: 9,
          expectedVersion,
          edits: [putService('crewbook', 100 + index)],
        }),
      ),
    );
  };
  const [first, ...others] = await race(1);
  t.is(first?.code, 1000);
  for (const other of others) {
    t.is(other?.code, codes.conflict.number);
    t.is(other?.version, first?.version);
    t.regex(other?.message ?? '', /version 2 by amina\/9 is in force/);
  }
  t.deepEqual(
    (await race()).map(answer => answer?.code),
    [1000, 1000, 1000],
  );
});

// Failure: a resend restores a value that later changes have replaced. The
// table keeps few answers per operator, and a resend older than these can't be
// distinguished from a new command. The operator's floor refuses it with a
// separate code.
test('a resend older than the table is refused and never run again', t => {
  const resend = (safeguards: Partial<MachineSafeguards>) => {
    const {send, machine} = createLoggedMachine({answers: 2}, safeguards);
    for (let sequence = 1; sequence <= 4; sequence++) send(command(sequence));
    const answer = send(command(1));
    return {answer, machine};
  };
  const {answer, machine} = resend({});
  t.is(answer.code, codes.answerExpired.number);
  t.regex(answer.message, /amina\/1 .* sequences above 4/);
  t.is(machine.current().services.get('crewbook')?.slowStart, 4);

  const without = resend({floor: false});
  t.is(without.answer.code, 1000);
  t.is(without.machine.current().services.get('crewbook')?.slowStart, 1);
});

// Failure: a resend (sequence 3 of amina) runs again after its operator was
// dropped, because it looks like the command of a new operator. The floor of
// dropped operators applies to all operators that are not in the table.
test('a resend of a dropped operator is never run again', t => {
  const {send, machine} = createLoggedMachine({operators: 2});
  send(command(3));
  for (const operator of ['daulet', 'salim', 'aigul']) {
    const edits = [putService(operator)];
    t.is(send({operator, sequence: 5, edits}).code, 1000);
  }
  const before = machine.current();
  t.is(send(command(3)).code, codes.answerExpired.number);
  t.is(machine.current(), before);
  t.is(send(command(6)).code, 1000);
  t.is(machine.current().services.get('crewbook')?.slowStart, 6);
});

// Failure: a change is reported as accepted although it never ran. A script
// sends two different changes with the same id, and the second gets the answer
// of the first.
test('an id that was used for another command is refused', t => {
  const other = {...command(1), edits: [putService('drillvault')]};
  const {send, machine} = createLoggedMachine();
  send(command(1));
  const refused = send(other);
  t.is(refused.code, codes.sequenceReused.number);
  t.is(send(command(1)).code, 1000);

  const without = createLoggedMachine({}, {fingerprint: false});
  without.send(command(1));
  t.is(without.send(other).code, 1000);
  t.false(without.machine.current().services.has('drillvault'));
  t.false(machine.current().services.has('drillvault'));
});

test('commands of one operator can arrive out of order', t => {
  const {send} = createLoggedMachine({answers: 3});
  t.is(send(command(5)).code, 1000);
  t.is(send(command(4)).code, 1000);
  t.is(send(command(4)).version, 2);
  t.is(send(command(5)).version, 1);
});

test('a resend of a refused command gets the same refusal', t => {
  const {send, edit} = createLoggedMachine();
  const removal = {action: 'remove', kind: 'service', name: 'a'} as const;
  const late = {operator: 'daulet', sequence: 1, edits: [removal]};
  t.is(send(late).code, codes.notFound.number);
  edit([putService('a')]);
  t.is(send(late).code, codes.notFound.number);
});

/** Growth of the snapshot from 100 to 300 changes by 37 operators. */
function growth(operators: number, answers: number, history: number): number {
  const {send, machine} = createLoggedMachine({operators, answers, history});
  const sizes: number[] = [];
  for (let round = 1; round <= 300; round++) {
    const operator = `operator-${100 + (round % 37)}`;
    const edits = [putService('crewbook', 1000 + (round % 50))];
    send({operator, sequence: 1000 + round, edits});
    if (round % 100 === 0) sizes.push(machine.snapshot().length);
  }
  return sizes.at(-1)! / sizes[0]!;
}

test('the state stays bounded under endless changes by new operators', t => {
  t.true(growth(4, 3, 5) <= 1.05);
  t.true(growth(1000, 1000, 1000) > 2, 'without the bounds it grows');
});
