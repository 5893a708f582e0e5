import {spawnSync} from 'node:child_process';
import {mkdtempSync, writeFileSync} from 'node:fs';
import {tmpdir} from 'node:os';
import {join, resolve} from 'node:path';
import process from 'node:process';
import test from 'ava';

const script = resolve('scripts', 'count.mjs');

interface Run {
  readonly tap: readonly string[];
  readonly status?: number;
  readonly known?: string;
  readonly steps?: readonly string[];
}

/** Runs the script on a given TAP report; returns its exit code and output. */
function evaluate({tap, status = 0, known = '', steps = ['lint=0']}: Run) {
  const folder = mkdtempSync(join(tmpdir(), 'foxbarrow-'));
  writeFileSync(join(folder, 'KNOWN-RED.txt'), known);
  writeFileSync(join(folder, 'run.tap'), tap.join('\n'));
  const args = [script, 'run.tap', `${status}`, ...steps];
  const finished = spawnSync(process.execPath, args, {cwd: folder});
  const lines = finished.stdout.toString().trim().split('\n');
  return {code: finished.status, closing: lines.at(-1), lines};
}

const good = ['ok 1 - a › b', 'ok 2 - a › c', '1..2'];

test('a good run passes and counts its tests and steps', t => {
  const {code, closing} = evaluate({tap: good, steps: ['lint=0', 'build=0']});
  t.is(code, 0);
  t.is(closing, '4 passed, 0 failed');
});

test('a failed test, a failed step and a skipped test each fail the run', t => {
  const red = ['ok 1 - a', 'not ok 2 - b', '  Error: why', '1..2'];
  const failed = evaluate({tap: red, status: 1});
  t.is(failed.code, 1);
  t.is(failed.closing, '2 passed, 1 failed');
  t.true(failed.lines.some(line => line.includes('Error: why')));
  t.is(evaluate({tap: good, steps: ['lint=1']}).code, 1);
  for (const mark of ['ok 1 - a # SKIP', 'not ok 1 - a # TODO']) {
    t.is(evaluate({tap: [mark, 'ok 2 - b', '1..2']}).code, 1, mark);
  }
});

test('a run that did not finish fails, whichever tests passed before', t => {
  t.is(evaluate({tap: ['ok 1 - a', 'ok 2 - b']}).code, 1, 'killed');
  t.is(evaluate({tap: []}).code, 1, 'nothing ran');
  t.is(evaluate({tap: ['1..0']}).code, 1, 'no tests');
  t.is(evaluate({tap: good, status: 1}).code, 1, 'crashed after the report');
  t.is(
    evaluate({tap: [...good.slice(0, 2), '1..3']}).code,
    1,
    'a test is missing',
  );
});

test('a listed test that fails is printed and does not fail the run', t => {
  const tap = ['ok 1 - a', 'not ok 2 - b › c', '1..2'];
  const {code, closing, lines} = evaluate({
    tap,
    status: 1,
    known: 'b › c | cause | #9',
  });
  t.is(code, 0);
  t.is(closing, '2 passed, 0 failed');
  t.true(lines.includes('known red, passed over: b › c'));
});

test('the list of failing tests hides no other failure', t => {
  const tap = ['ok 1 - a', 'not ok 2 - b', '1..2'];
  t.is(
    evaluate({tap, status: 1, known: 'c | cause | #9'}).code,
    1,
    'another test',
  );
  t.is(
    evaluate({tap: good, known: 'a › b | x | #9'}).code,
    1,
    'the listed test passes',
  );
  const skipped = ['ok 1 - a', 'ok 2 - b # SKIP', '1..2'];
  t.is(evaluate({tap: skipped, known: 'b | x | #9'}).code, 1, 'skipped');
  const four = ['1', '2', '3', '4'];
  const many = four.map((title, index) => `not ok ${index + 1} - ${title}`);
  const known = four.map(title => `${title} | x | #9`).join('\n');
  const all = [...many, 'ok 5 - a', '1..5'];
  t.is(evaluate({tap: all, status: 1, known}).code, 1, 'more than three');
});
