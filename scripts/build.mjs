// Builds dist/foxbarrow: one file, the bundle inside Node's own executable.
import console from 'node:console';
import {execFileSync} from 'node:child_process';
import {
  chmodSync,
  copyFileSync,
  mkdirSync,
  readFileSync,
  renameSync,
  statSync,
  writeFileSync,
} from 'node:fs';
import {join, resolve} from 'node:path';
import process from 'node:process';
import {build} from 'esbuild';
import {inject} from 'postject';

const work = join('build', 'bundle');
const bundle = join(work, 'foxbarrow.cjs');
const blob = join(work, 'foxbarrow.blob');
const target = join('dist', 'foxbarrow');

// Node looks for a blob behind this mark in its own executable.
const fuse = 'NODE_SEA_FUSE_fce680ab2cc467b6e072b8b5df1996b2';

// An alias would also catch the paths inside the package.
const undiciParts = {
  name: 'undici-parts',
  setup(build) {
    build.onResolve({filter: /^undici$/}, () => ({
      path: resolve('scripts/undici-client.cjs'),
    }));
  },
};

async function bundleProgram() {
  const {version} = JSON.parse(readFileSync('package.json', 'utf8'));
  await build({
    entryPoints: ['src/cli/bin.ts'],
    outfile: bundle,
    bundle: true,
    platform: 'node',
    target: 'node20',
    format: 'cjs',
    minify: true,
    keepNames: true,
    legalComments: 'none',
    plugins: [undiciParts],
    define: {FOXBARROW_VERSION: JSON.stringify(version)},
    logLevel: 'warning',
  });
}

function makeBlob() {
  const settings = join(work, 'sea.json');
  writeFileSync(
    settings,
    JSON.stringify({
      main: bundle,
      output: blob,
      disableExperimentalSEAWarning: true,
      useSnapshot: false,
      useCodeCache: process.env.FOXBARROW_CODE_CACHE !== '0',
    }),
  );
  execFileSync(process.execPath, ['--experimental-sea-config', settings], {
    stdio: ['ignore', 'ignore', 'inherit'],
  });
}

async function makeExecutable() {
  mkdirSync('dist', {recursive: true});
  const fresh = `${target}.new`;
  copyFileSync(process.execPath, fresh);
  chmodSync(fresh, 0o755);
  await inject(fresh, 'NODE_SEA_BLOB', readFileSync(blob), {
    sentinelFuse: fuse,
  });
  // A running program's file can't be written to; a new one takes its name.
  renameSync(fresh, target);
}

mkdirSync(work, {recursive: true});
await bundleProgram();
makeBlob();
await makeExecutable();
const megabytes = Math.round(statSync(target).size / 1e6);
console.log(`${target}: ${megabytes} MB, Node.js ${process.version}`);
