import {readFile, readdir} from 'node:fs/promises';
import {createRequire} from 'node:module';
import {join, resolve} from 'node:path';
import test from 'ava';

/** Names that the source imports from undici at run time. */
async function importedNames(): Promise<Set<string>> {
  const names = new Set<string>();
  const files = await readdir('src', {recursive: true});
  for (const file of files) {
    if (!file.endsWith('.ts') || /\.test\.ts$|fakes/.test(file)) continue;
    const text = await readFile(join('src', file), 'utf8');
    for (const [, list] of text.matchAll(/import \{([^}]+)\} from 'undici'/g)) {
      for (const name of list!.split(',')) names.add(name.trim());
    }
  }
  return names;
}

// Guards against a 500 for each request that occurs only in the executable: a
// module imports one more name from undici, which scripts/undici-client.cjs
// lacks. Modules that Node.js runs directly load the whole package and work.
test('the bundle contains each part of undici that the source uses', async t => {
  const load = createRequire(resolve('scripts/undici-client.cjs'));
  const parts = load('./undici-client.cjs') as Record<string, unknown>;
  const names = await importedNames();
  t.true(names.size >= 3);
  for (const name of names) t.is(typeof parts[name], 'function', name);
});
