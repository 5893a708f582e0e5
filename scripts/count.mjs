// Judges one run of the checks and prints the closing line that CI reads.
// usage: node scripts/count.mjs TAP-FILE RUNNER-STATUS [STEP=STATUS ...]
import console from 'node:console';
import process from 'node:process';
import {readFileSync} from 'node:fs';

const mostKnownRed = 3;

const [file, status, ...steps] = process.argv.slice(2);
const known = readFileSync('KNOWN-RED.txt', 'utf8')
  .split('\n')
  .filter(line => line.trim() !== '')
  .map(line => line.split(' | ')[0].trim());
const tests = readTests(readFileSync(file, 'utf8').split('\n'));

const passed = tests.filter(test => test.ok && test.directive === undefined);
const red = tests.filter(test => !test.ok || test.directive !== undefined);
const passedOver = red.filter(isKnownRed);
const problems = [
  ...red.filter(test => !isKnownRed(test)).map(describe),
  ...findRunnerProblems(),
  ...findListProblems(),
  ...steps.filter(step => !step.endsWith('=0')).map(step => `step ${step}`),
];
const goodSteps = steps.filter(step => step.endsWith('=0')).length;

for (const test of passedOver) {
  console.log(`known red, passed over: ${test.title}`);
}
for (const problem of problems) console.log(`failed: ${problem}`);
console.log(`${passed.length + goodSteps} passed, ${problems.length} failed`);
process.exit(problems.length === 0 ? 0 : 1);

function readTests(lines) {
  const found = [];
  for (const line of lines) {
    const match = /^(not )?ok \d+ - (.*?)(?: # (SKIP|TODO)\b.*)?$/i.exec(line);
    if (match !== null) {
      const [, not, title, directive] = match;
      found.push({ok: not === undefined, title, directive, detail: []});
    } else if (/^ /.test(line)) found.at(-1)?.detail.push(line);
  }
  return found;
}

// Only a test that ran and failed may be passed over, never a skipped one.
function isKnownRed(test) {
  return test.directive === undefined && known.includes(test.title.trim());
}

function describe(test) {
  if (test.directive !== undefined) return `not run: ${test.title}`;
  return [test.title, ...test.detail].join('\n');
}

// A runner that was killed or crashed leaves a short report: its plan line,
// counts and status must fit what was read.
function findRunnerProblems() {
  const text = readFileSync(file, 'utf8');
  const plan = /^1\.\.(\d+)$/m.exec(text);
  const found = [];
  if (plan === null || Number(plan[1]) !== tests.length) {
    found.push('the test runner did not finish');
  }
  if (passed.length === 0) found.push('no test passed');
  if ((status !== '0') !== red.some(test => !test.ok)) {
    found.push(`the test runner's status ${status} does not fit its report`);
  }
  return found;
}

function findListProblems() {
  const found = known
    .filter(title => !passedOver.some(test => test.title.trim() === title))
    .map(title => `KNOWN-RED.txt: "${title}" did not fail; take it off`);
  if (known.length > mostKnownRed) {
    found.push(`KNOWN-RED.txt: ${known.length} lines, ${mostKnownRed} at most`);
  }
  return found;
}
