// Evaluates one run of the checks and prints the closing line that CI reads.
// usage: node scripts/count.mjs TAP-FILE RUNNER-STATUS [STEP=STATUS ...]
import console from 'node:console';
import process from 'node:process';
import {readFileSync} from 'node:fs';

const maxKnownRed = 3;

const [file, status, ...steps] = process.argv.slice(2);
const listed = readFileSync('KNOWN-RED.txt', 'utf8')
  .split('\n')
  .filter(line => line.trim() !== '')
  .map(line => line.split(' | ')[0].trim());
const tests = readTests(readFileSync(file, 'utf8').split('\n'));

const passed = tests.filter(test => test.ok && test.directive === undefined);
const notPassed = tests.filter(
  test => !test.ok || test.directive !== undefined,
);
const ignoredFailures = notPassed.filter(isKnownRed);
const problems = [
  ...notPassed.filter(test => !isKnownRed(test)).map(describe),
  ...findRunnerProblems(),
  ...findListProblems(),
  ...steps.filter(step => !step.endsWith('=0')).map(step => `step ${step}`),
];
const passedSteps = steps.filter(step => step.endsWith('=0')).length;

for (const test of ignoredFailures) {
  console.log(`known red, passed over: ${test.title}`);
}
for (const problem of problems) console.log(`failed: ${problem}`);
console.log(`${passed.length + passedSteps} passed, ${problems.length} failed`);
process.exit(problems.length === 0 ? 0 : 1);

function readTests(lines) {
  const results = [];
  for (const line of lines) {
    const match = /^(not )?ok \d+ - (.*?)(?: # (SKIP|TODO)\b.*)?$/i.exec(line);
    if (match !== null) {
      const [, not, title, directive] = match;
      results.push({ok: not === undefined, title, directive, detail: []});
    } else if (/^ /.test(line)) results.at(-1)?.detail.push(line);
  }
  return results;
}

// Only a test that ran and failed may be ignored, never a skipped one.
function isKnownRed(test) {
  return test.directive === undefined && listed.includes(test.title.trim());
}

function describe(test) {
  if (test.directive !== undefined) return `not run: ${test.title}`;
  return [test.title, ...test.detail].join('\n');
}

// A test runner that was killed or crashed leaves an incomplete report, so its
// plan line, counts and status must match the tests that were read.
function findRunnerProblems() {
  const text = readFileSync(file, 'utf8');
  const plan = /^1\.\.(\d+)$/m.exec(text);
  const messages = [];
  if (plan === null || Number(plan[1]) !== tests.length) {
    messages.push('the test runner did not finish');
  }
  if (passed.length === 0) messages.push('no test passed');
  if ((status !== '0') !== notPassed.some(test => !test.ok)) {
    messages.push(
      `the test runner's status ${status} does not match its report`,
    );
  }
  return messages;
}

function findListProblems() {
  const messages = listed
    .filter(title => !ignoredFailures.some(test => test.title.trim() === title))
    .map(title => `KNOWN-RED.txt: "${title}" did not fail; remove it`);
  if (listed.length > maxKnownRed) {
    messages.push(
      `KNOWN-RED.txt: ${listed.length} lines, ${maxKnownRed} at most`,
    );
  }
  return messages;
}
