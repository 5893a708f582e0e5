import {execFile} from 'node:child_process';
import {cpSync, mkdirSync, mkdtempSync, rmSync, writeFileSync} from 'node:fs';
import {readFile, readdir} from 'node:fs/promises';
import {tmpdir} from 'node:os';
import {dirname, join, resolve} from 'node:path';
import test from 'ava';

const config = '.dependency-cruiser.cjs';
const order = 'scripts/slices.json';
const depcruise = resolve('node_modules/.bin/depcruise');

/** Checks the rules on a temporary source tree; resolves with the output. */
async function check(files: Readonly<Record<string, string>>) {
  const root = mkdtempSync(join(tmpdir(), 'import-rules-'));
  for (const [path, text] of Object.entries(files)) {
    mkdirSync(dirname(join(root, path)), {recursive: true});
    writeFileSync(join(root, path), text);
  }
  for (const file of [config, order]) cpSync(file, join(root, file));
  writeFileSync(join(root, 'tsconfig.json'), '{}');
  const output = await new Promise<string>(done => {
    execFile(depcruise, ['src'], {cwd: root}, (_error, stdout) => done(stdout));
  });
  rmSync(root, {recursive: true});
  return output;
}

const emptyModule = 'export {};\n';

interface Violation {
  readonly rule: string;
  readonly description: string;
  readonly files: Readonly<Record<string, string>>;
}

const violations: readonly Violation[] = [
  {
    rule: 'decisions-without-io',
    description: 'a decision module that opens a socket',
    files: {
      'src/request/decisions/a.ts': "import 'node:net';\n",
    },
  },
  {
    rule: 'decisions-without-io',
    description: 'a decision module that imports the transport',
    files: {
      'src/request/decisions/a.ts': "import '../transport/b.js';\n",
      'src/request/transport/b.ts': emptyModule,
    },
  },
  {
    rule: 'transport-without-decisions',
    description: 'a transport module that imports a decision',
    files: {
      'src/request/transport/a.ts': "import '../decisions/b.js';\n",
      'src/request/decisions/b.ts': emptyModule,
    },
  },
  {
    rule: 'messages-below-both',
    description: 'a message module that imports the transport',
    files: {
      'src/request/messages/a.ts': "import '../transport/b.js';\n",
      'src/request/transport/b.ts': emptyModule,
    },
  },
  {
    rule: 'time-upwards',
    description: 'a slice that imports a higher slice',
    files: {
      'src/time/a.ts': "import '../node/b.js';\n",
      'src/node/b.ts': emptyModule,
    },
  },
  {
    rule: 'no-circle',
    description: 'two modules that import each other',
    files: {
      'src/time/a.ts': "import type {B} from './b.js';\nexport type A = B;\n",
      'src/time/b.ts': "import type {A} from './a.js';\nexport type B = A;\n",
    },
  },
];

for (const {rule, description, files} of violations) {
  test(`the linter refuses ${description}`, async t => {
    const output = await check(files);
    t.true(output.includes(`error ${rule}`), output);
  });
}

test('a decision module that imports only messages passes', async t => {
  const output = await check({
    'src/request/decisions/a.ts': "import '../messages/b.js';\n",
    'src/request/messages/b.ts': emptyModule,
  });
  t.true(output.includes('no dependency violations'), output);
});

test('the order of slices lists every folder of src', async t => {
  const slices = JSON.parse(await readFile(order, 'utf8')) as string[];
  const folders = await readdir('src');
  t.deepEqual([...slices].sort(), folders.sort());
});
