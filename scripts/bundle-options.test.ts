import {createRequire} from 'node:module';
import {resolve} from 'node:path';
import {pathToFileURL} from 'node:url';
import test from 'ava';
import {build} from 'esbuild';
import type {BuildOptions} from 'esbuild';

interface BundleExports {
  readonly createHandler: () => () => number;
  readonly Failure: new (code: object, message: string) => Error;
}

const source = `
  export {Failure} from './src/result/failure.ts';
  export function createHandler() {
    return answersRequest;
    function answersRequest() { return 1; }
  }
`;

async function bundle(): Promise<string> {
  const path = pathToFileURL(resolve('scripts/bundle-options.mjs')).href;
  const {bundleOptions} = (await import(path)) as {bundleOptions: BuildOptions};
  const {outputFiles} = await build({
    ...bundleOptions,
    stdin: {contents: source, resolveDir: resolve('.'), loader: 'ts'},
    write: false,
  });
  return outputFiles![0]!.text;
}

function load(text: string): BundleExports {
  const module = {exports: {}};
  const require = createRequire(resolve('scripts/build.mjs'));

  new Function('module', 'require', text)(module, require);
  return module.exports as BundleExports;
}

// Guards against `keepNames` of esbuild: it wraps each closure of each request
// in a call that sets the function's name.
test('the bundle does not set function names at run time', async t => {
  const text = await bundle();
  t.notRegex(text, /defineProperty\([^()]*,\s*"name"/);
  t.notRegex(text, /__name\b/);
});

test('the bundle preserves the names that logs show', async t => {
  const {createHandler, Failure} = load(await bundle());
  const failure = new Failure({number: 5000}, 'text');
  t.is(createHandler().name, 'answersRequest');
  t.is(failure.name, 'Failure');
  t.is(failure.constructor.name, 'Failure');
  t.is(String(failure), 'Failure: text');
});
