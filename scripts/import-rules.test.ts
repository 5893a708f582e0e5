import {execFile} from 'node:child_process';
import {cpSync, mkdirSync, mkdtempSync, rmSync, writeFileSync} from 'node:fs';
import {readFile, readdir} from 'node:fs/promises';
import {tmpdir} from 'node:os';
import {dirname, join, resolve} from 'node:path';
import test from 'ava';

const config = '.dependency-cruiser.cjs';
const order = 'scripts/slices.json';
const cruise = resolve('node_modules/.bin/depcruise');

/** Runs the rules on a tree of its own; resolves with what they print. */
async function check(files: Readonly<Record<string, string>>) {
  const root = mkdtempSync(join(tmpdir(), 'import-rules-'));
  for (const [path, text] of Object.entries(files)) {
    mkdirSync(dirname(join(root, path)), {recursive: true});
    writeFileSync(join(root, path), text);
  }
  for (const file of [config, order]) cpSync(file, join(root, file));
  writeFileSync(join(root, 'tsconfig.json'), '{}');
  const printed = await new Promise<string>(done => {
    execFile(cruise, ['src'], {cwd: root}, (_error, stdout) => done(stdout));
  });
  rmSync(root, {recursive: true});
  return printed;
}

const empty = 'export {};\n';

interface Violation {
  readonly rule: string;
  readonly what: string;
  readonly files: Readonly<Record<string, string>>;
}

const violations: readonly Violation[] = [
  {
    rule: 'decisions-without-io',
    what: 'a decision that opens a socket',
    files: {
      'src/request/decisions/a.ts': "import 'node:net';\n",
    },
  },
  {
    rule: 'decisions-without-io',
    what: 'a decision that sends by itself',
    files: {
      'src/request/decisions/a.ts': "import '../transport/b.js';\n",
      'src/request/transport/b.ts': empty,
    },
  },
  {
    rule: 'transport-without-decisions',
    what: 'a link that chooses its gate',
    files: {
      'src/request/transport/a.ts': "import '../decisions/b.js';\n",
      'src/request/decisions/b.ts': empty,
    },
  },
  {
    rule: 'messages-below-both',
    what: 'a message that knows its link',
    files: {
      'src/request/messages/a.ts': "import '../transport/b.js';\n",
      'src/request/transport/b.ts': empty,
    },
  },
  {
    rule: 'time-upwards',
    what: 'a slice that imports one above it',
    files: {
      'src/time/a.ts': "import '../node/b.js';\n",
      'src/node/b.ts': empty,
    },
  },
  {
    rule: 'no-circle',
    what: 'two parts that import each other',
    files: {
      'src/time/a.ts': "import type {B} from './b.js';\nexport type A = B;\n",
      'src/time/b.ts': "import type {A} from './a.js';\nexport type B = A;\n",
    },
  },
];

for (const {rule, what, files} of violations) {
  test(`the linter refuses ${what}`, async t => {
    const printed = await check(files);
    t.true(printed.includes(`error ${rule}`), printed);
  });
}

test('a decision that keeps to values passes', async t => {
  const printed = await check({
    'src/request/decisions/a.ts': "import '../messages/b.js';\n",
    'src/request/messages/b.ts': empty,
  });
  t.true(printed.includes('no dependency violations'), printed);
});

test('each slice has its place in the order', async t => {
  const slices = JSON.parse(await readFile(order, 'utf8')) as string[];
  const folders = await readdir('src');
  t.deepEqual([...slices].sort(), folders.sort());
});
