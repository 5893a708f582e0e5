import test from 'ava';
import {isIncompleteBlock, parseCommand, parseEdits} from './parse.js';
import {renderProblem} from './problem.js';
import {digestOfKey} from '../workspaces/key-digest.js';

function parse(text: string): unknown {
  const parsed = parseCommand(text);
  return parsed.ok ? parsed.value : renderProblem(text, parsed.problem);
}

const serviceA = {kind: 'service', value: {name: 'a', slowStart: 0}};

test('values of items have units', t => {
  t.deepEqual(parse('put service stock-desk slow-start 5s'), {
    kind: 'change',
    edits: [
      {
        action: 'put',
        item: {kind: 'service', value: {name: 'stock-desk', slowStart: 5000}},
      },
    ],
  });
  t.deepEqual(
    parse(
      'put policy gate-checks deadline 250ms priority critical attempts 3 ' +
        'repeat idempotent body 64MiB objective 99.9% within 200ms',
    ),
    {
      kind: 'change',
      edits: [
        {
          action: 'put',
          item: {
            kind: 'policy',
            value: {
              name: 'gate-checks',
              priority: 'critical',
              deadline: 250,
              attempts: 3,
              repeatability: 'idempotent',
              bodyLimit: 64 * 1024 * 1024,
              objective: {target: 0.999, latency: 200},
            },
          },
        },
      ],
    },
  );
  t.like(
    parse(
      'put route gates methods POST,GET under p to drillvault prefix /gate',
    ),
    {
      edits: [
        {
          item: {
            value: {
              name: 'gates',
              prefix: '/gate',
              methods: ['GET', 'POST'],
              service: 'drillvault',
              policy: 'p',
            },
          },
        },
      ],
    },
  );
});

test('a prefix gives the id of the command and the expected version', t => {
  t.deepEqual(parse('as amina/7 expect 12 put service a'), {
    kind: 'change',
    id: {operator: 'amina', sequence: 7},
    expectedVersion: 12,
    edits: [{action: 'put', item: serviceA}],
  });
});

test('several edits on one line or between begin and end form one change', t => {
  const edits = [
    {action: 'put', item: serviceA},
    {action: 'remove', kind: 'route', name: 'r'},
    {
      action: 'put',
      item: {kind: 'drain', value: {name: 'a-1', service: 'a'}},
    },
    {action: 'remove', kind: 'drain', name: 'a-2'},
    {action: 'remove', kind: 'quarantine', name: '0f'},
  ];
  const texts = ['put service a', 'remove route r', 'drain a-1 of a'];
  const all = [...texts, 'undrain a-2', 'release 0f'];
  t.deepEqual(parse(all.join('; ')), {kind: 'change', edits});
  t.deepEqual(parse(`begin\n  ${all.join('\n\n  ')}\nend # all\n`), {
    kind: 'change',
    edits,
  });
  const file = parseEdits(`# parts stores\n\n${all.join('\n')}\n`);
  t.deepEqual(file, {ok: true, value: edits} as never);
});

test('queries are parsed', t => {
  t.deepEqual(parse('show services'), {kind: 'show', items: 'service'});
  t.like(parse('show routes r'), {items: 'route', name: 'r'});
  t.like(parse('show quarantines'), {items: 'quarantine'});
  t.deepEqual(parse('show in force'), {kind: 'show-in-force'});
  t.deepEqual(parse('show control'), {kind: 'show-control'});
  t.deepEqual(parse('history 5'), {kind: 'history', count: 5});
  t.deepEqual(parse('accept loss of crewbook'), {
    kind: 'accept-loss',
    service: 'crewbook',
  });
  t.deepEqual(parse('wait 12 within 5s'), {
    kind: 'wait',
    version: 12,
    within: 5000,
  });
  t.deepEqual(
    parse('replace control c-1 with c-4 at 127.0.0.1:7104 in hall-a'),
    {
      kind: 'replace',
      leaving: 'c-1',
      joining: {
        name: 'c-4',
        address: '127.0.0.1:7104',
        failureDomain: 'hall-a',
      },
    },
  );
});

test('a keyword can be used as a name', t => {
  t.like(parse('put service service'), {
    edits: [{item: {value: {name: 'service'}}}],
  });
  t.like(parse('show services force'), {name: 'force'});
});

const invalidTexts: ReadonlyArray<readonly [string, string]> = [
  [
    'put rotue stock',
    `
put rotue stock
    ^^^^^ expected service, policy, route or workspace`,
  ],
  [
    'put service a slowstart 5s',
    `
put service a slowstart 5s
              ^^^^^^^^^ expected slow-start, ";" or the end of the command`,
  ],
  [
    'put policy p deadline 5',
    `
put policy p deadline 5
                      ^ expected a duration such as 250ms, 5s or 2m`,
  ],
  [
    'put policy p deadline 5s deadline 6s',
    `
put policy p deadline 5s deadline 6s
                         ^^^^^^^^ expected deadline only once`,
  ],
  [
    'put route r prefix /a to b',
    `
put route r prefix /a to b
          ^ expected "prefix PATH", "to SERVICE" and "under POLICY" after the name of a route`,
  ],
  [
    'put service Stock',
    `
put service Stock
            ^^^^^ expected a name of 1 to 63 letters a-z, digits, dots or hyphens`,
  ],
  [
    'wait',
    `
wait
    ^ expected a version`,
  ],
  [
    'put service a put service b',
    `
put service a put service b
              ^^^ expected slow-start, ";" or the end of the command`,
  ],
  [
    'begin\n  put service a\n  put srevice b\nend',
    `
  put srevice b
      ^^^^^^^ line 3: expected service, policy, route or workspace`,
  ],
  [
    'remove route',
    `
remove route
            ^ expected a name`,
  ],
  [
    'apply "parts',
    `
apply "parts
      ^ expected a closing "`,
  ],
  [
    'show in force now',
    `
show in force now
              ^^^ expected ";" or the end of the command`,
  ],
];

for (const [text, rendered] of invalidTexts) {
  test(`the caret is under the unexpected word: ${JSON.stringify(text)}`, t => {
    t.is(`\n${String(parse(text))}`, rendered);
  });
}

test('invalid values are reported at their word', t => {
  for (const text of [
    'put policy p deadline 1s attempts 0',
    'put policy p deadline 1s objective 101% within 1s',
    'put policy p deadline 1s body 5MB',
    'put route r prefix a to b under c',
    'put route r prefix /a methods get to b under c',
    'as amina put service a',
    'as amina/0 put service a',
    'expect -1 put service a',
    'wait 99999999999999999999',
    'replace control a with b at host:7000 in c',
  ]) {
    t.regex(String(parse(text)), /\^+ expected /, text);
  }
});

test('a block is incomplete until its end', t => {
  t.true(isIncompleteBlock('as amina/1 expect 4 begin put service a\n'));
  t.false(isIncompleteBlock('begin put service a; end'));
  t.false(isIncompleteBlock('put service begin'));
  t.true(
    isIncompleteBlock('begin put service end\n'),
    'end as a name does not close the block',
  );
});

test('a roll-out is started and rolled back by one edit each', t => {
  t.deepEqual(parse('start rollout of crewbook to v2 within 12s'), {
    kind: 'change',
    edits: [
      {
        action: 'start-rollout',
        service: 'crewbook',
        target: 'v2',
        duration: 12_000,
      },
    ],
  });
  t.deepEqual(parse('roll back crewbook'), {
    kind: 'change',
    edits: [
      {action: 'roll-back', service: 'crewbook', reason: 'by an operator'},
    ],
  });
  t.deepEqual(parse('show rollouts'), {kind: 'show', items: 'rollout'});
});

test('a roll-out needs a duration above zero', t => {
  t.regex(
    String(parse('start rollout of crewbook to v2 within 0s')),
    /a duration above zero/,
  );
});

test('a workspace is put with the digests of its keys, its quota and its priority', t => {
  const keys = ['k-1', 'k-2'].map(digestOfKey).sort();
  const value = {
    name: 'millers',
    keys,
    priority: 'critical',
    quota: {rate: 50, burst: 100.5},
  };
  const edits = [{action: 'put', item: {kind: 'workspace', value}}];
  for (const list of ['"k-1,k-2"', 'k-2,k-1']) {
    const text = `put workspace millers keys ${list} rate 50 burst 100.5 priority critical`;
    t.deepEqual(parse(text), {kind: 'change', edits});
  }
  t.deepEqual(parse('put workspace millers'), {
    kind: 'change',
    edits: [
      {
        action: 'put',
        item: {kind: 'workspace', value: {name: 'millers', keys: []}},
      },
    ],
  });
  t.like(parse('put workspace millers rate 50'), {
    edits: [{item: {value: {quota: {rate: 50, burst: 50}}}}],
  });
  t.deepEqual(parse('remove workspace millers'), {
    kind: 'change',
    edits: [{action: 'remove', kind: 'workspace', name: 'millers'}],
  });
  t.deepEqual(parse('show workspaces millers'), {
    kind: 'show',
    items: 'workspace',
    name: 'millers',
  });
});

test('a route is keyed or public', t => {
  const route = 'put route r prefix /r to a under p';
  const {edits} = parse(`${route} keyed`) as {edits: unknown[]};
  t.like(edits[0], {item: {value: {access: 'keyed'}}});
  t.deepEqual(parse(`${route} public`), parse(route));
  t.regex(String(parse(`${route} keyed public`)), /either keyed or public/);
  t.regex(String(parse(`${route} public keyed`)), /either keyed or public/);
  t.regex(String(parse(`${route} keyed keyed`)), /keyed only once/);
});

test('each invalid field of a workspace is reported at its word', t => {
  const cases: ReadonlyArray<readonly [string, string, RegExp]> = [
    ['Millers', 'Millers', /a name of 1 to 63/],
    ['m keys ""', '""', /keys of 1 to 256/],
    ['m keys "a,,b"', '"a,,b"', /key 2 of 3 differs/],
    ['m keys "a b"', '"a b"', /key 1 of 1 differs/],
    ['m keys é', 'é', /key 1 of 1 differs/],
    [`m keys ${'k'.repeat(257)}`, 'k'.repeat(257), /key 1 of 1 differs/],
    ['m keys a,b,a', 'a,b,a', /each key only once/],
    ['m keys a keys b', 'keys b', /keys only once/],
    ['m rate 5 rate 5', 'rate 5', /rate only once/],
    ['m rate 5 burst 1 burst 1', 'burst 1', /burst only once/],
    ['m rate 0', '0', /above 0/],
    ['m rate -1', '-1', /above 0/],
    ['m rate NaN', 'NaN', /above 0/],
    ['m rate Infinity', 'Infinity', /above 0/],
    ['m rate 1e3', '1e3', /above 0/],
    ['m rate 5 burst -1', '-1', /of at least 0/],
    ['m burst 5', 'm', /"rate NUMBER"/],
    ['m priority high', 'high', /critical, normal or background/],
    ['m weight 5', 'weight', /expected keys, priority, rate, burst, ";"/],
  ];
  for (const [rest, word, message] of cases) {
    const text = `put workspace ${rest}`;
    const parsed = parseCommand(text);
    if (parsed.ok) return t.fail(text);
    t.regex(parsed.problem.message, message, text);
    t.is(parsed.problem.offset, text.lastIndexOf(word), text);
  }
});

// Guards against keys in the terminals and logs of operators' scripts.
test('no problem shows a key', t => {
  const secret = 's3cret';
  for (const text of [
    `put workspace m keys "${secret} x"`,
    `put workspace m keys "${secret}`,
    `put workspace m keys ${secret}, ${secret}`,
    `put workspace m keys ${secret} "${secret}"`,
    `put workspace m key ${secret}`,
    `put workspace m key "${secret}"`,
    `put workspce m keys ${secret} rate 5`,
    `put workspce m keys ${secret}, ${secret}`,
    `put workspace m ${secret}`,
    `put workspace m keys ${secret} keys ${secret}`,
    `put workspace m keys ${secret},${secret}`,
    `begin\n  put workspace m keys ${secret},,${secret}\nend`,
    `begin\n  put workspace m\n  keys "${secret}"\nend`,
    `put service a; put workspace m keys "${secret}" rat 5`,
  ]) {
    const shown = String(parse(text));
    t.regex(shown, /\^ (line \d+: )?expected /, text);
    t.notRegex(shown, new RegExp(secret), text);
  }
  t.regex(
    String(parse('put workspace m rate 5x')),
    /^put workspace m rate 5x\n/,
  );
});
