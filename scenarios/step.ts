/** Step definitions: a text with typed places, and what it does to a stage. */

/** A step's arguments, read off its pattern: `{number}` or `{word}`. */
export type Arguments<Pattern extends string> =
  Pattern extends `${string}{${infer Kind}}${infer Rest}`
    ? [Kind extends 'number' ? number : string, ...Arguments<Rest>]
    : [];

/** Actions stand under Given and When, checks under Then. */
export type StepKind = 'action' | 'check';

/** One definition. */
export interface Step<Stage> {
  readonly kind: StepKind;
  readonly pattern: string;
  /** The arguments of a step that it matches; undefined when it does not. */
  match(text: string): Array<string | number> | undefined;
  run(stage: Stage, args: Array<string | number>): Promise<void> | void;
}

/** Defines steps for one kind of stage. */
export interface Steps<Stage> {
  action<Pattern extends string>(
    pattern: Pattern,
    run: (stage: Stage, ...args: Arguments<Pattern>) => Promise<void> | void,
  ): void;
  check<Pattern extends string>(
    pattern: Pattern,
    run: (stage: Stage, ...args: Arguments<Pattern>) => Promise<void> | void,
  ): void;
  readonly all: ReadonlyArray<Step<Stage>>;
}

const places: Readonly<Record<string, string>> = {
  word: '([A-Za-z0-9-]+)',
  number: '(\\d+)',
};

/** Creates an empty list of steps. */
export function createSteps<Stage>(): Steps<Stage> {
  const all: Array<Step<Stage>> = [];

  function add(kind: StepKind, pattern: string, run: Step<Stage>['run']): void {
    const kinds = [...pattern.matchAll(/\{(\w+)\}/g)].map(match => match[1]!);
    const source = pattern.replace(/\{(\w+)\}/g, (_, name: string) => {
      const place = places[name];
      if (place === undefined) throw new Error(`${pattern}: no place ${name}`);
      return place;
    });
    const expression = new RegExp(`^${source}$`);
    all.push({
      kind,
      pattern,
      run,
      match(text) {
        const found = expression.exec(text)?.slice(1);
        return found?.map((value, at) =>
          kinds[at] === 'number' ? Number(value) : value,
        );
      },
    });
  }

  return {
    all,
    action: (pattern, run) =>
      add('action', pattern, (stage, args) =>
        run(stage, ...(args as Arguments<typeof pattern>)),
      ),
    check: (pattern, run) =>
      add('check', pattern, (stage, args) =>
        run(stage, ...(args as Arguments<typeof pattern>)),
      ),
  };
}
