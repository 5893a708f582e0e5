import {execFileSync} from 'node:child_process';
import {mkdtempSync, readFileSync, rmSync, writeFileSync} from 'node:fs';
import {createRequire} from 'node:module';
import {tmpdir} from 'node:os';
import {join, resolve} from 'node:path';
import process from 'node:process';
import type {Script} from 'node:vm';
import test from 'ava';

interface BundleScript {
  compileBundle(source: string, cachedData?: Buffer): Script;
}

const {compileBundle} = createRequire(resolve('scripts/build.mjs'))(
  './bundle-script.cjs',
) as BundleScript;

/** Records the code cache of a bundle that prints its arguments. */
function record(source: string): {output: string; cache: Buffer} {
  const folder = mkdtempSync(join(tmpdir(), 'foxbarrow-code-'));
  try {
    const bundle = join(folder, 'bundle.cjs');
    const cache = join(folder, 'cache');
    writeFileSync(bundle, source);
    const output = execFileSync(
      process.execPath,
      [resolve('scripts/record-code.cjs'), bundle, cache, 'node', 'settings'],
      {encoding: 'utf8'},
    );
    return {output, cache: readFileSync(cache)};
  } finally {
    rmSync(folder, {recursive: true, force: true});
  }
}

const body = 'let sum = 0; for (const one of list) sum += one * 2; return sum;';
const program = (isCalled: boolean) => `#!/usr/bin/env node
require('node:v8').setFlagsFromString('--interrupt-budget=270000');
function add(list) { ${body} }
console.log(process.argv.slice(2).join(' '), ${isCalled ? 'add([1, 2])' : '0'});
`;

// Guards against a cache that V8 rejects without a message, for instance because
// the program has set V8 flags while it was recorded.
test('a recorded code cache is accepted', t => {
  const {output, cache} = record(program(true));
  t.is(output, 'node settings 6\n');
  const script = compileBundle(program(true), cache);
  t.is(script.cachedDataRejected, false);
});

test('a recorded code cache contains the functions that were called', t => {
  const called = record(program(true)).cache.length;
  const uncalled = record(program(false)).cache.length;
  t.true(called > uncalled + 100);
});
