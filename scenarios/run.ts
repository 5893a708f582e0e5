/** Turns feature files into scenarios that can be run. */
import {readFileSync, readdirSync} from 'node:fs';
import {join} from 'node:path';
import {
  AstBuilder,
  GherkinClassicTokenMatcher,
  Parser,
  compile,
} from '@cucumber/gherkin';
import {IdGenerator, PickleStepType} from '@cucumber/messages';
import type {GherkinDocument, Pickle, PickleStep} from '@cucumber/messages';
import type {Step} from './step.js';

/** One scenario, bound to its steps. */
export interface Scenario<Stage> {
  readonly name: string;
  run(stage: Stage): Promise<void>;
}

/** Reads all feature files of a folder; each fault in them is an error. */
export function readScenarios<Stage>(
  folder: string,
  steps: ReadonlyArray<Step<Stage>>,
): Array<Scenario<Stage>> {
  const files = readdirSync(folder).filter(name => name.endsWith('.feature'));
  return files
    .sort()
    .flatMap(name =>
      parseScenarios(name, readFileSync(join(folder, name), 'utf8'), steps),
    );
}

/** Reads the scenarios of one feature file. */
export function parseScenarios<Stage>(
  file: string,
  text: string,
  steps: ReadonlyArray<Step<Stage>>,
): Array<Scenario<Stage>> {
  const newId = IdGenerator.incrementing();
  const matcher = new GherkinClassicTokenMatcher();
  const document = new Parser(new AstBuilder(newId), matcher).parse(text);
  refuseUnusedColumns(file, document);
  const pickles = compile(document, file, newId);
  if (pickles.length === 0) throw new Error(`${file}: no scenario`);
  const feature = document.feature?.name ?? file;
  return pickles.map(pickle =>
    bind(`${feature}: ${pickle.name}`, pickle, steps),
  );
}

function bind<Stage>(
  name: string,
  pickle: Pickle,
  steps: ReadonlyArray<Step<Stage>>,
): Scenario<Stage> {
  const bound = pickle.steps.map(step => find(name, step, steps));
  if (!bound.some(({step}) => step.kind === 'check')) {
    throw new Error(`${name}: no Then; a scenario must check something`);
  }
  return {
    name,
    async run(stage) {
      for (const {step, args, text} of bound) {
        try {
          await step.run(stage, args);
        } catch (error) {
          throw new Error(`at "${text}": ${(error as Error).message}`, {
            cause: error,
          });
        }
      }
    },
  };
}

function find<Stage>(
  name: string,
  {text, type, argument}: PickleStep,
  steps: ReadonlyArray<Step<Stage>>,
) {
  if (argument !== undefined) {
    throw new Error(`${name}: no step takes the table or text of "${text}"`);
  }
  const kind = type === PickleStepType.OUTCOME ? 'check' : 'action';
  const found = steps.flatMap(step => {
    const args = step.kind === kind ? step.match(text) : undefined;
    return args === undefined ? [] : [{step, args, text}];
  });
  if (found.length === 0) throw new Error(`${name}: unknown ${kind} "${text}"`);
  if (found.length > 1) {
    const patterns = found.map(({step}) => step.pattern).join('; ');
    throw new Error(`${name}: "${text}" is ambiguous: ${patterns}`);
  }
  return found[0]!;
}

/** A column that no step names would look tested and change nothing. */
function refuseUnusedColumns(file: string, document: GherkinDocument): void {
  for (const {scenario} of document.feature?.children ?? []) {
    if (scenario === undefined) continue;
    const text = scenario.steps.map(step => step.text).join('\n');
    for (const {tableHeader} of scenario.examples) {
      for (const {value} of tableHeader?.cells ?? []) {
        if (text.includes(`<${value}>`)) continue;
        throw new Error(`${file}: no step of "${scenario.name}" uses ${value}`);
      }
    }
  }
}
