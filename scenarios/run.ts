/** Parses feature files into runnable scenarios. */
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

/** A scenario whose steps are bound to their definitions. */
export interface Scenario<World> {
  readonly name: string;
  run(world: World): Promise<void>;
}

/** Reads all feature files of a folder; throws on an invalid one. */
export function readScenarios<World>(
  folder: string,
  steps: ReadonlyArray<Step<World>>,
): Array<Scenario<World>> {
  const files = readdirSync(folder).filter(name => name.endsWith('.feature'));
  return files
    .sort()
    .flatMap(name =>
      parseScenarios(name, readFileSync(join(folder, name), 'utf8'), steps),
    );
}

/** Parses the scenarios of one feature file. */
export function parseScenarios<World>(
  file: string,
  text: string,
  steps: ReadonlyArray<Step<World>>,
): Array<Scenario<World>> {
  const newId = IdGenerator.incrementing();
  const matcher = new GherkinClassicTokenMatcher();
  const document = new Parser(new AstBuilder(newId), matcher).parse(text);
  rejectUnusedColumns(file, document);
  const pickles = compile(document, file, newId);
  if (pickles.length === 0) throw new Error(`${file}: no scenario`);
  const feature = document.feature?.name ?? file;
  return pickles.map(pickle =>
    bindScenario(`${feature}: ${pickle.name}`, pickle, steps),
  );
}

function bindScenario<World>(
  name: string,
  pickle: Pickle,
  steps: ReadonlyArray<Step<World>>,
): Scenario<World> {
  const bound = pickle.steps.map(step => bindStep(name, step, steps));
  if (!bound.some(({step}) => step.kind === 'check')) {
    throw new Error(`${name}: no Then; a scenario must check something`);
  }
  return {
    name,
    async run(world) {
      for (const {step, args, text} of bound) {
        try {
          await step.run(world, args);
        } catch (error) {
          throw new Error(`at "${text}": ${(error as Error).message}`, {
            cause: error,
          });
        }
      }
    },
  };
}

function bindStep<World>(
  name: string,
  {text, type, argument}: PickleStep,
  steps: ReadonlyArray<Step<World>>,
) {
  if (argument !== undefined) {
    throw new Error(`${name}: no step takes the table or text of "${text}"`);
  }
  const kind = type === PickleStepType.OUTCOME ? 'check' : 'action';
  const matches = steps.flatMap(step => {
    const args = step.kind === kind ? step.match(text) : undefined;
    return args === undefined ? [] : [{step, args, text}];
  });
  if (matches.length === 0)
    throw new Error(`${name}: unknown ${kind} "${text}"`);
  if (matches.length > 1) {
    const patterns = matches.map(({step}) => step.pattern).join('; ');
    throw new Error(`${name}: "${text}" is ambiguous: ${patterns}`);
  }
  return matches[0]!;
}

/** Rejects columns of examples that no step uses, since they test nothing. */
function rejectUnusedColumns(file: string, document: GherkinDocument): void {
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
