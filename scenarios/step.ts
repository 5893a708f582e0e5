/**
 * Step definitions: a pattern with typed placeholders, and an action on a
 * world.
 */

/**
 * Argument types of a step, inferred from `{number}` and `{word}` in its
 * pattern.
 */
export type Arguments<Pattern extends string> =
  Pattern extends `${string}{${infer Kind}}${infer Rest}`
    ? [Kind extends 'number' ? number : string, ...Arguments<Rest>]
    : [];

/** An action is used under Given and When, a check under Then. */
export type StepKind = 'action' | 'check';

/** One step definition. */
export interface Step<World> {
  readonly kind: StepKind;
  readonly pattern: string;
  /**
   * The arguments in a step's text; undefined when the pattern does not match.
   */
  match(text: string): Array<string | number> | undefined;
  run(world: World, args: Array<string | number>): Promise<void> | void;
}

/** Step definitions for one kind of world: the state that steps share. */
export interface Steps<World> {
  action<Pattern extends string>(
    pattern: Pattern,
    run: (world: World, ...args: Arguments<Pattern>) => Promise<void> | void,
  ): void;
  check<Pattern extends string>(
    pattern: Pattern,
    run: (world: World, ...args: Arguments<Pattern>) => Promise<void> | void,
  ): void;
  readonly all: ReadonlyArray<Step<World>>;
}

const placeholders: Readonly<Record<string, string>> = {
  word: '([A-Za-z0-9-]+)',
  number: '(\\d+)',
};

/** Creates an empty list of step definitions. */
export function createSteps<World>(): Steps<World> {
  const all: Array<Step<World>> = [];

  function add(kind: StepKind, pattern: string, run: Step<World>['run']): void {
    const kinds = [...pattern.matchAll(/\{(\w+)\}/g)].map(match => match[1]!);
    const source = pattern.replace(/\{(\w+)\}/g, (_, name: string) => {
      const placeholder = placeholders[name];
      if (placeholder === undefined)
        throw new Error(`${pattern}: unknown placeholder ${name}`);
      return placeholder;
    });
    const expression = new RegExp(`^${source}$`);
    all.push({
      kind,
      pattern,
      run,
      match(text) {
        const groups = expression.exec(text)?.slice(1);
        return groups?.map((value, index) =>
          kinds[index] === 'number' ? Number(value) : value,
        );
      },
    });
  }

  return {
    all,
    action: (pattern, run) =>
      add('action', pattern, (world, args) =>
        run(world, ...(args as Arguments<typeof pattern>)),
      ),
    check: (pattern, run) =>
      add('check', pattern, (world, args) =>
        run(world, ...(args as Arguments<typeof pattern>)),
      ),
  };
}
