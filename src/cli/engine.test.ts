import {execFileSync} from 'node:child_process';
import process from 'node:process';
import test from 'ava';
import {nodeEngineOptions} from './engine.js';

// The engine passes over an option that a new version of it has given up.
test('the engine knows each option that a node sets', t => {
  const known = execFileSync(process.execPath, ['--v8-options']).toString();
  t.true(nodeEngineOptions.length > 0);
  for (const option of nodeEngineOptions) {
    const [name] = option.split('=');
    t.regex(known, new RegExp(`^ *${name} \\(`, 'm'), option);
  }
});
