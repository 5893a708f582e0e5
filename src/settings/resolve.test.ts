import test from 'ava';
import {parseSettings, resolveSettings} from './resolve.js';

const node = {
  role: 'node',
  name: 'node-1',
  region: 'astana',
  failureDomain: 'hall-a',
  adminAddress: '127.0.0.1:7001',
  callerAddress: '127.0.0.1:7002',
  gateAddress: '127.0.0.1:7003',
  homes: ['127.0.0.1:7004'],
};

const control = {
  role: 'control',
  name: 'control-1',
  region: 'astana',
  failureDomain: 'hall-a',
  adminAddress: '127.0.0.1:7001',
  dataFolder: 'data',
  peerAddress: '127.0.0.1:7002',
  operatorAddress: '127.0.0.1:7003',
  distributionAddress: '127.0.0.1:7004',
  members: [
    {
      name: 'control-1',
      peerAddress: '127.0.0.1:7002',
      operatorAddress: '127.0.0.1:7003',
      distributionAddress: '127.0.0.1:7004',
      failureDomain: 'hall-a',
    },
  ],
};

function problem(settings: unknown): string {
  const result = parseSettings('a.json', JSON.stringify(settings));
  if (result.ok) return 'good';
  return result.message;
}

test('missing settings get their default values', t => {
  const result = parseSettings('a.json', JSON.stringify(node));
  t.true(result.ok);
  if (result.ok) t.is(result.value.stopDeadline, 30_000);
  t.is(problem(control), 'good');
});

test('an unknown key is reported with its path', t => {
  t.regex(problem({...node, colour: 1}), /^a\.json: colour: unknown key/);
  const members = [{...control.members[0], colour: 1}];
  t.regex(
    problem({...control, members}),
    /^a\.json: members\.0\.colour: unknown key/,
  );
});

test('a value of the wrong type is reported with what is allowed', t => {
  t.regex(problem({...node, renewal: 'soon'}), /^a\.json: renewal: .*number/);
  t.regex(problem({...node, name: 'Node One'}), /^a\.json: name: .*a-z/);
  t.regex(
    problem({...node, logLevel: 'loud'}),
    /^a\.json: logLevel: .*'debug'/,
  );
  t.regex(problem([]), /^a\.json: the file: /);
});

test('a missing or malformed address is reported with the expected format', t => {
  const missing = {...node, callerAddress: undefined};
  t.regex(problem(missing), /^a\.json: callerAddress: .*IP number and a port/);
  for (const callerAddress of [
    'localhost:80',
    '127.0.0.1',
    '127.0.0.1:0',
    ':1',
  ]) {
    t.regex(
      problem({...node, callerAddress}),
      /^a\.json: callerAddress: .*IP number and a port/,
      callerAddress,
    );
  }
});

test('an unknown role is reported with the list of roles', t => {
  t.regex(
    problem({...node, role: 'proxy'}),
    /^a\.json: role: .*'control'.*'relay'.*'node'/,
  );
  t.regex(problem({name: 'x'}), /^a\.json: role: /);
});

test('two listeners on one port are reported in one line that names both keys', t => {
  const line = problem({...node, gateAddress: node.callerAddress});
  t.regex(
    line,
    /^a\.json: gateAddress: 127\.0\.0\.1:7002 is also callerAddress/,
  );
  t.notRegex(line, /\n/);
});

test('a listener on all addresses conflicts with another on the same port', t => {
  // Otherwise startup could fail with EADDRINUSE, depending on the order in
  // which the listeners are opened.
  const line = problem({...node, gateAddress: '0.0.0.0:7002'});
  t.regex(line, /^a\.json: gateAddress: 0\.0\.0\.0:7002 is also callerAddress/);
});

test("a listener on the upstream's own address is refused", t => {
  const upstream = {
    service: 'crewbook',
    address: node.gateAddress,
    slots: 10,
    connections: 130,
  };
  t.regex(
    problem({...node, upstream}),
    /^a\.json: upstream\.address: .*gateAddress/,
  );
});

test('a control process must be listed as a member with its own addresses', t => {
  // Otherwise the other members would connect to an address where nothing
  // listens.
  const away = {...control.members[0]!, name: 'control-2'};
  t.regex(
    problem({...control, members: [away]}),
    /^a\.json: members: .*control-1/,
  );
  const everywhere = {...control, peerAddress: '0.0.0.0:7002'};
  t.is(problem(everywhere), 'good', 'listening on all addresses is allowed');
  const moved = {...control.members[0]!, peerAddress: '127.0.0.1:9'};
  t.regex(
    problem({...control, members: [moved]}),
    /^a\.json: members\.0\.peerAddress: /,
  );
});

test('members with one name or one peer address are refused', t => {
  const twice = [control.members[0], control.members[0]];
  t.regex(
    problem({...control, members: twice}),
    /^a\.json: members\.1\.name: /,
  );
});

test('invalid JSON and a missing file are reported in one line', async t => {
  const broken = parseSettings('a.json', '{"role": ');
  t.false(broken.ok);
  if (!broken.ok) t.regex(broken.message, /^a\.json: is not JSON: [^\n]*$/);
  const none = await resolveSettings('no-such-folder/a.json');
  t.false(none.ok);
  if (!none.ok)
    t.regex(none.message, /^no-such-folder\/a\.json: cannot be read/);
});

test('an election timeout shorter than three heartbeats is refused', t => {
  // Otherwise one late heartbeat could depose a healthy leader.
  const line = problem({...control, heartbeat: 100, electionTimeout: 250});
  t.regex(line, /^a\.json: electionTimeout: 250 .* at least 300/);
});

test('periods of 0, which would cause busy loops, are refused', t => {
  t.regex(problem({...control, heartbeat: 0}), /^a\.json: heartbeat: /);
  t.regex(problem({...node, renewal: 0}), /^a\.json: renewal: /);
});

test('a time of revocation shorter than five heartbeats of the home is refused', t => {
  // Otherwise a healthy node would refuse keyed requests between two
  // confirmations.
  const keys = (revocation: number) => ({...node, keys: {revocation}});
  t.regex(
    problem(keys(4_999)),
    /^a\.json: keys\.revocation: 4999 .* at least 5000/,
  );
  t.is(problem(keys(5_000)), 'good');
  t.is(problem({...keys(2_000), homeHeartbeat: 400}), 'good');
  t.regex(problem(keys(0)), /^a\.json: keys\.revocation: /);
  t.is(problem({...node, keys: {}}), 'good');
});
