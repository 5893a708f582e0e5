import test from 'ava';
import {createRandom} from '../random/random.js';
import {isIncompleteBlock, parseCommand, parseEdits} from './parse.js';
import {renderProblem} from './problem.js';
import {vocabulary} from './tokens.js';

const words = [
  ...vocabulary.map(({LABEL}) => LABEL ?? ' '),
  ...['a', '5s', '99%', '/a', 'GET', 'amina/7', '12', '127.0.0.1:7000'],
  ...[';', '\n', '"', '"x y"', '#', '\t', '\r\n', '\u0000', 'é', '💧', ''],
];

// Guards against exceptions in the parser, which would end a shell session
// before its remaining commands have run. Any input must be parsed as a command
// or rejected with a problem whose position is inside the text.
test('any text gives a command or a problem with a position in the text', t => {
  const random = createRandom(11);
  let commands = 0;
  for (let run = 0; run < 5000; run++) {
    const count = random.integer(9);
    const parts = Array.from({length: count}, () => random.pick(words));
    const text = parts.join(random.pick([' ', ' ', '']));
    isIncompleteBlock(text);
    for (const parsed of [parseCommand(text), parseEdits(text)]) {
      if (parsed.ok) {
        commands++;
        continue;
      }
      const {problem} = parsed;
      const isInside = problem.offset >= 0 && problem.offset <= text.length;
      t.true(isInside && problem.length > 0, JSON.stringify({text, problem}));
      const shown = renderProblem(text, problem).split('\n');
      t.is(shown.length, 2, JSON.stringify({text, shown}));
      t.regex(shown[1]!, /^\s*\^+ (line \d+: )?expected /);
    }
  }
  t.true(commands > 5, `${commands}`);
});
