import {resolve} from 'node:path';
import {pathToFileURL} from 'node:url';
import test from 'ava';
import {build} from 'esbuild';
import type {BuildOptions, Plugin} from 'esbuild';

async function load<Type>(file: string): Promise<Type> {
  return (await import(pathToFileURL(resolve(file)).href)) as Type;
}

/** Modules of Node.js that the bundle of a node loads at its start. */
async function findBuiltins(): Promise<Set<string>> {
  const {bundleOptions} = await load<{bundleOptions: BuildOptions}>(
    'scripts/bundle-options.mjs',
  );
  const {usedParts} = await load<{usedParts: Plugin}>(
    'scripts/bundle-parts.mjs',
  );
  const {metafile} = await build({
    ...bundleOptions,
    entryPoints: ['src/node/run.ts'],
    plugins: [usedParts],
    metafile: true,
    write: false,
  });
  const imports = Object.values(metafile!.outputs).flatMap(
    output => output.imports,
  );
  return new Set(imports.map(({path}) => path.replace(/^node:/, '')));
}

// Guards against an update of a library that loads TLS and HTTP/2 at each start
// again, about 30 ms of processor time.
test('a node does not load HTTP/2, https or a cluster at its start', async t => {
  const builtins = await findBuiltins();
  t.true(builtins.has('http'));
  for (const unused of ['http2', 'https', 'cluster']) {
    t.false(builtins.has(unused), unused);
  }
});
