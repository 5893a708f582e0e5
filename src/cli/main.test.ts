import {mkdtemp, writeFile} from 'node:fs/promises';
import {tmpdir} from 'node:os';
import {join} from 'node:path';
import test from 'ava';
import type {Loaders} from './loaders.js';
import {main} from './main.js';

const relay = {
  role: 'relay',
  name: 'relay-1',
  region: 'muscat',
  failureDomain: 'rusayl-a',
  adminAddress: '127.0.0.1:7001',
  distributionAddress: '127.0.0.1:7002',
  sources: ['127.0.0.1:7003'],
};

async function fileOf(content: unknown): Promise<string> {
  const folder = await mkdtemp(join(tmpdir(), 'foxbarrow-'));
  const file = join(folder, 'settings.json');
  await writeFile(file, JSON.stringify(content));
  return file;
}

async function run(args: readonly string[]) {
  const loaded: string[] = [];
  const output = {out: '', error: ''};
  const command = (name: string) => async () => {
    loaded.push(name);
    return async () => 7;
  };
  const role = (name: string) => async () => {
    loaded.push(name);
    return () => Promise.reject(new Error('port is taken'));
  };
  const loaders: Loaders = {
    control: role('control'),
    relay: role('relay'),
    node: role('node'),
    operator: command('operator'),
    report: command('report'),
  };
  const code = await main(args, loaders, {
    out: text => (output.out += text),
    error: text => (output.error += text),
  });
  return {code, loaded, ...output};
}

test('help and version print and exit 0 without loading a role', async t => {
  const help = await run(['--help']);
  t.is(help.code, 0);
  t.regex(help.out, /check-settings FILE/);
  const version = await run(['--version']);
  t.regex(version.out, /^\d+\.\d+\.\d+/);
  t.deepEqual([...help.loaded, ...version.loaded], []);
});

test('a command line that cannot be used exits 2 with one line', async t => {
  for (const args of [
    [],
    ['check-settings'],
    ['node', 'a', 'b'],
    ['node', '--x'],
  ]) {
    const {code, error} = await run(args);
    t.is(code, 2, args.join(' '));
    t.regex(error, /^foxbarrow: .*\n$/);
  }
});

test('check-settings tells good settings and names what is wrong in others', async t => {
  const good = await run(['check-settings', await fileOf(relay)]);
  t.is(good.code, 0);
  t.regex(good.out, /relay relay-1/);
  const file = await fileOf({...relay, colour: 'red'});
  const bad = await run(['check-settings', file]);
  t.is(bad.code, 2);
  t.true(bad.error.startsWith(`foxbarrow: ${file}: colour: unknown key`));
});

test('a role loads only its own part, and a failed start exits 1', async t => {
  const {code, loaded} = await run(['relay', await fileOf(relay)]);
  t.is(code, 1);
  t.deepEqual(loaded, ['relay']);
});

test('settings of another role are refused before anything is loaded', async t => {
  const {code, loaded, error} = await run(['node', await fileOf(relay)]);
  t.is(code, 2);
  t.deepEqual(loaded, []);
  t.regex(error, /settings of a relay/);
});

test('other words go to the operator commands', async t => {
  const {code, loaded} = await run(['get', 'routes']);
  t.is(code, 7);
  t.deepEqual(loaded, ['operator']);
});
