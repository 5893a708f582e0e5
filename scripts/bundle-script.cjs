// Compiles and runs the bundle of the program; used by the executable and by
// the recording of its code caches.
const {createRequire} = require('node:module');
const process = require('node:process');
const {Script} = require('node:vm');

const filename = 'foxbarrow.cjs';

// Only one line precedes the bundle, so line numbers in stack traces are those
// of the bundle plus one.
const head = '(function (exports, require, module, __filename) {\n';
const tail = '\n})';

const interpreterLine = /^#!.*/;

/** Compiles the bundle, with the functions of a code cache if there is one. */
function compileBundle(source, cachedData) {
  const body = source.replace(interpreterLine, '');
  return new Script(head + body + tail, {filename, cachedData});
}

/** Runs the bundle, which reads its arguments from `process.argv`. */
function runBundle(script) {
  const module = {exports: {}};
  const requireBuiltin = createRequire(process.execPath);
  const run = script.runInThisContext();
  run(module.exports, requireBuiltin, module, filename);
}

module.exports = {compileBundle, runBundle};
