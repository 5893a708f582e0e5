// Main script of the executable. The bundle is an asset and not the main
// script, because Node.js only caches the code of functions that run while the
// main script is compiled. The recorded caches contain the functions that a
// role calls.
const {Buffer} = require('node:buffer');
const process = require('node:process');
const {getAsset, getRawAsset} = require('node:sea');
const {compileBundle, runBundle} = require('./bundle-script.cjs');

const roles = ['control', 'relay', 'node'];

/** The code cache for the command; undefined if the build recorded none. */
function findCodeCache(command) {
  if (getAsset('code-caches', 'utf8') !== 'recorded') return undefined;
  return Buffer.from(
    getRawAsset(roles.includes(command) ? command : 'operator'),
  );
}

// The bundle contains ASCII only, so that each byte is a character.
const source = Buffer.from(getRawAsset('bundle')).latin1Slice();
runBundle(compileBundle(source, findCodeCache(process.argv[2])));
