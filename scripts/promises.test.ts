import {existsSync, readFileSync} from 'node:fs';
import test from 'ava';
import {checks} from '../model/checks.js';

interface TestReference {
  readonly file: string;
  readonly title: string;
}

const page = readFileSync('docs/PROMISES.md', 'utf8');

/** Reads lines of the form: - `src/slice/part.test.ts` the title of a test */
function readReferences(): TestReference[] {
  return page
    .split('\n')
    .map(line => /^- `([^`]+)` (.+)$/.exec(line))
    .filter(match => match !== null)
    .map(([, file, title]) => ({file: file!, title: title!}));
}

/**
 * Titles of the tests, scenarios or model checks in a file, as in its source.
 */
function titlesIn(file: string): string[] {
  const text = readFileSync(file, 'utf8');
  if (file === 'model/checks.ts') return checks.map(({name}) => name);
  if (file.endsWith('.feature')) {
    return [...text.matchAll(/^ *Scenario: (.+)$/gm)].map(match => match[1]!);
  }
  const calls = text.matchAll(
    /\btest(?:\.serial)?\(\s*(?:'((?:\\.|[^'\\])*)'|"([^"]*)"|`([^`]*)`)/g,
  );
  return [...calls].map(([, single, double, template]) =>
    (single ?? double ?? template ?? '').replaceAll("\\'", "'"),
  );
}

test('every test that the page of promises names exists', t => {
  const references = readReferences();
  t.true(references.length > 80);
  for (const {file, title} of references) {
    t.true(existsSync(file), file);
    if (!existsSync(file)) continue;
    t.true(titlesIn(file).includes(title), `${file}: ${title}`);
  }
});

test('every promise names a test', t => {
  const sections = page.split(/^### /m).slice(1);
  t.true(sections.length >= 18);
  for (const section of sections) {
    t.regex(section, /^- `/m, section.split('\n')[0]);
  }
});
