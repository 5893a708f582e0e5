// Runs the bundle and writes a code cache of the functions that it has called
// when it exits. Usage: `record-code.cjs BUNDLE CACHE ARGUMENTS...`.
const {readFileSync, writeFileSync} = require('node:fs');
const process = require('node:process');
const v8 = require('node:v8');
const {compileBundle, runBundle} = require('./bundle-script.cjs');

const [bundle, cache] = process.argv.splice(2, 2);
const script = compileBundle(readFileSync(bundle, 'latin1'));

// V8 rejects a cache that was created with other flags than those at the start,
// so the program's own flags are not set here.
const {setFlagsFromString} = v8;
v8.setFlagsFromString = () => {};

// V8 would discard the code of functions that are not called for some time.
setFlagsFromString('--no-flush-bytecode');
process.on('exit', () => {
  setFlagsFromString('--flush-bytecode');
  writeFileSync(cache, script.createCachedData());
});
runBundle(script);
