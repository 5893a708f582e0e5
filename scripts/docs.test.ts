import {existsSync, readFileSync, readdirSync} from 'node:fs';
import {join} from 'node:path';
import test from 'ava';
import {resolveSettings} from '../src/settings/resolve.js';
import {resultTable} from '../src/admin/result-table.js';
import {renderResultCodes} from './result-codes-page.js';
import {renderSettings} from './settings-page.js';

const advice = 'run `npm run docs` and commit the page';

test('docs/RESULT_CODES.md matches the table of result codes', t => {
  const page = readFileSync('docs/RESULT_CODES.md', 'utf8');
  t.is(page, renderResultCodes(resultTable), advice);
});

test('every result code has a unique number, a unique name and a meaning', t => {
  const numbers = resultTable.map(code => code.number);
  t.deepEqual([...new Set(numbers)], numbers);
  const names = resultTable.map(code => code.name);
  t.deepEqual([...new Set(names)].sort(), [...names].sort());
  for (const code of resultTable) {
    t.regex(code.meaning, /^[A-Z].*\.$/, code.name);
    t.regex(code.name, /^[a-z][a-z-]*$/);
  }
});

test('no code of a request that may have run has a status by which callers send it again', t => {
  const promises = new Set([408, 421, 429, 503]);
  for (const {name, number, status, effect} of resultTable) {
    const isRequest = number >= 5000 && number < 7000;
    if (isRequest && promises.has(status)) t.is(effect, 'not-run', name);
  }
});

test('the table contains the codes of every slice', async t => {
  for (const slice of readdirSync('src')) {
    const module = join('src', slice, 'codes.ts');
    if (
      slice === 'result' ||
      !readdirSync(join('src', slice)).includes('codes.ts')
    )
      continue;
    const text = readFileSync(module, 'utf8');
    const defined = text.match(/defineCode\(\s*(\d+)/g) ?? [];
    t.true(defined.length > 0, module);
    for (const definition of defined) {
      const number = Number(/\d+/.exec(definition)![0]);
      t.true(
        resultTable.some(code => code.number === number),
        `${module}: ${number}`,
      );
    }
  }
});

test('docs/SETTINGS.md matches the schema', t => {
  const page = readFileSync('docs/SETTINGS.md', 'utf8');
  t.is(page, renderSettings(), advice);
});

test('every setting has a meaning', t => {
  const rows = renderSettings()
    .split('\n')
    .filter(line => line.startsWith('| `'));
  t.true(rows.length > 40);
  for (const row of rows) t.notRegex(row, /\| {2}\|$/, row);
});

test('every example settings file is valid', async t => {
  let files = 0;
  for (const deployment of readdirSync('examples')) {
    for (const file of readdirSync(join('examples', deployment))) {
      if (!file.endsWith('.json')) continue;
      const settings = await resolveSettings(
        join('examples', deployment, file),
      );
      t.true(settings.ok, settings.ok ? '' : settings.message);
      files++;
    }
  }
  t.true(files >= 28);
});

test('every source file that docs/CODE.md names exists', t => {
  const page = readFileSync('docs/CODE.md', 'utf8');
  const files = readdirSync('src', {recursive: true}).map(String);
  const names = [...page.matchAll(/`([\w/-]+\.ts)`/g)].map(match => match[1]!);
  t.true(names.length > 50);
  for (const name of names) {
    const isPresent =
      existsSync(name) || files.some(file => `/${file}`.endsWith(`/${name}`));
    t.true(isPresent, name);
  }
});
