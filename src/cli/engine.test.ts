import {execFileSync} from 'node:child_process';
import process from 'node:process';
import test from 'ava';
import {nodeEngineOptions} from './engine.js';

// V8 silently ignores an option that a new version no longer has.
test('V8 supports each option that a node sets', t => {
  const supported = execFileSync(process.execPath, ['--v8-options']).toString();
  t.true(nodeEngineOptions.length > 0);
  for (const option of nodeEngineOptions) {
    const [name] = option.split('=');
    t.regex(supported, new RegExp(`^ *${name} \\(`, 'm'), option);
  }
});
