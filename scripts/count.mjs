// Counts a TAP run and a lint run; prints failures, then the closing line.
import console from 'node:console';
import process from 'node:process';
import {readFileSync} from 'node:fs';

const [file, lint, status] = process.argv.slice(2);
const known = readFileSync('KNOWN-RED.txt', 'utf8')
  .split('\n')
  .filter(line => line.trim() !== '')
  .map(line => line.split(' | ')[0].trim());
const lines = readFileSync(file, 'utf8').split('\n');

let passed = 0;
let failed = 0;
let passedOver = 0;
let showing = false;
for (const line of lines) {
  const result = /^(not )?ok \d+ - (.*)$/.exec(line);
  if (result === null) {
    if (showing) console.log(line);
    continue;
  }
  showing = result[1] !== undefined;
  if (!showing) {
    passed++;
    continue;
  }
  console.log(line);
  if (known.includes(result[2].trim())) {
    passedOver++;
    console.log(`known red, passed over: ${result[2]}`);
  } else {
    failed++;
  }
}
if (lint === '0') passed++;
else {
  failed++;
  console.log('failed: formatter and linter');
}
const crashed = status !== '0' && failed === 0 && passedOver === 0;
if (crashed || passed < 2) {
  failed++;
  console.log('failed: the test runner did not finish');
}
console.log(`${passed} passed, ${failed} failed`);
process.exit(failed === 0 ? 0 : 1);
