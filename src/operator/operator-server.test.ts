import {request} from 'undici';
import test from 'ava';
import {putService} from '../configuration/fakes/sample.js';
import {createTimers} from '../time/timers.js';
import {createOperatorClient} from './create-operator-client.js';
import {deploy} from './fakes/deployment.js';
import {createShortTimeoutClient} from './fakes/short-timeout-client.js';

function clientOf(addresses: readonly string[], token?: string) {
  return createOperatorClient({addresses, token, timers: createTimers()});
}

const command = {
  operator: 'amina',
  sequence: 1,
  edits: [putService('stock-desk')],
};

test('a change sent to a follower is redirected to the leader', async t => {
  const {group, addresses} = await deploy(t);
  group.lead('control-3');
  const reply = await clientOf(addresses).change(command);
  t.deepEqual(reply, {
    ok: true,
    value: {code: 1000, message: 'accepted', version: 1, isResent: false},
  });
});

// Guards against changes that run twice. The leader commits a change and its
// answer is lost, so the client sends the command to the next leader. The
// answer table, which is part of the replicated state, must give the first
// answer; without it the change would run again.
test('a change whose answer was lost runs once', async t => {
  const {group, addresses} = await deploy(t);
  group.planOutcomes('commit-and-lose');
  const reply = await clientOf(addresses).change(command);
  t.true(reply.ok && reply.value.version === 1);
  t.is(group.entries().length, 2);
  t.is(group.machine('control-2').history().length, 1);
});

test('a change without an answer has an unknown outcome; if no process is reachable, it was not run', async t => {
  const {group, addresses, close} = await deploy(t);
  group.planOutcomes(...Array.from({length: 500}, () => 'lose' as const));
  const unknown = await createShortTimeoutClient(addresses).change(command);
  t.false(unknown.ok);
  t.is(unknown.ok ? '' : unknown.refusal.effect, 'unknown');
  await close();
  const unreachable = await createShortTimeoutClient(addresses).change(command);
  t.is(unreachable.ok ? '' : unreachable.refusal.effect, 'not-run');
});

// The leader commits a change and its answer is lost; the next process refuses
// the resend, because its settings allow fewer edits. The refusal of the second
// attempt does not show that the first did not run, so the outcome is unknown.
test('a refusal after a lost answer has an unknown outcome', async t => {
  const limitOf = (name: string) => (name === 'control-1' ? 3 : 0);
  const {group, addresses} = await deploy(t, undefined, limitOf);
  group.planOutcomes('commit-and-lose');
  const reply = await clientOf(addresses).change(command);
  t.is(reply.ok ? 0 : reply.refusal.code, 2005);
  t.is(reply.ok ? '' : reply.refusal.effect, 'unknown');
  t.is(group.machine('control-1').current().version, 1);
  const first = await clientOf(addresses.slice(1)).change(command);
  t.is(first.ok ? '' : first.refusal.effect, 'not-run');
});

test('changes require the token, queries do not', async t => {
  const token = 'a-token-of-the-deployment';
  const {addresses} = await deploy(t, token);
  const stranger = await clientOf(addresses, 'another').change(command);
  t.is(stranger.ok ? 0 : stranger.refusal.code, 2009);
  t.true((await clientOf(addresses).items('service')).ok);
  t.true((await clientOf(addresses, token).change(command)).ok);
});

// An operator waits for a version that is never reached while the process
// stops. The wait must not delay the stop, and it must still be answered,
// since a closed connection would look like a failure.
test('a graceful shutdown answers pending requests and completes', async t => {
  const {addresses, close} = await deploy(t);
  const pending = request(
    `http://${addresses[0]}/wait?input=${encodeURIComponent(
      JSON.stringify({version: 9, within: 10_000}),
    )}`,
  );
  await request(`http://${addresses[0]}/inForce`).then(({body}) => body.dump());
  const closing = close();
  const answer = (await (await pending).body.json()) as {
    result: {data: {inForce: boolean}};
  };
  t.false(answer.result.data.inForce);
  await closing;
  const late = await createShortTimeoutClient(addresses).items('service');
  t.is(late.ok ? 0 : late.refusal.code, 1003);
});

test('limits are checked before a command enters the log', async t => {
  const {group, addresses} = await deploy(t);
  const edits = ['a', 'b', 'c', 'd'].map(name => putService(name));
  const reply = await clientOf(addresses).change({...command, edits});
  t.is(reply.ok ? 0 : reply.refusal.code, 2005);
  t.regex(reply.ok ? '' : reply.refusal.message, /limits\.edits of 3/);
  const sequence = Number.MAX_SAFE_INTEGER;
  const ahead = await clientOf(addresses).change({...command, sequence});
  t.is(ahead.ok ? 0 : ahead.refusal.code, 2012);
  t.is(group.entries().length, 0);
});

test('invalid requests are answered with a result code and the server keeps running', async t => {
  const {group, addresses} = await deploy(t);
  const post = async (body: string) => {
    const answer = await request(`http://${addresses[0]}/change`, {
      method: 'POST',
      headers: {'content-type': 'application/json'},
      body,
    });
    const {error} = (await answer.body.json()) as {
      error: {data: {refusal: {code: number; message: string}}};
    };
    return error.data.refusal;
  };
  t.is((await post('{')).code, 2008);
  t.is((await post('null')).code, 2008);
  const unknown = await post(JSON.stringify({...command, colour: 'red'}));
  t.regex(unknown.message, /colour/);
  const badName = {...command, operator: 'Amina Bek'};
  t.regex((await post(JSON.stringify(badName))).message, /^operator: must be/);
  t.is((await post('x'.repeat(20_000))).code, 2010);
  t.is(group.entries().length, 0);
  t.true((await clientOf(addresses).change(command)).ok);
});
