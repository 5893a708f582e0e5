import type {Kind} from '../configuration/configuration.js';
import type {Edit} from '../configuration/messages.js';
import {EditParser} from './edit-parser.js';
import type {Prefix, Statement} from './statement.js';
import {Separator, Text, Word} from './tokens.js';
import * as values from './values.js';

/** Number of changes that `history` lists by default. */
const defaultHistoryCount = 20;

/** Default timeout of `wait`, in milliseconds. */
const defaultWait = 30_000;

/** The grammar of commands: changes with their prefix, and queries. */
class LanguageParser extends EditParser {
  constructor() {
    super();
    this.performSelfAnalysis();
  }

  /** One command. */
  readonly command = this.RULE('command', (): Statement => {
    this.MANY(() => this.CONSUME1(Separator));
    const statement = this.OR<Statement>([
      {ALT: () => this.SUBRULE(this.prefixed)},
      {ALT: () => this.SUBRULE(this.query)},
    ]);
    this.MANY1(() => this.CONSUME2(Separator));
    return statement;
  });

  private readonly prefixed = this.RULE('prefixed', (): Statement => {
    const prefix: {-readonly [K in keyof Prefix]: Prefix[K]} = {};
    this.OPTION(() => {
      this.key('as');
      const id = this.CONSUME1(Word);
      this.ACTION(() => (prefix.id = values.toId(id)));
    });
    this.OPTION1(() => {
      this.key('expect');
      const version = this.CONSUME2(Word);
      this.ACTION(() => (prefix.expectedVersion = values.toCount(version)));
    });
    return this.OR<Statement>([
      {
        ALT: () => {
          const edits = this.SUBRULE(this.edits);
          return {kind: 'change', edits, ...prefix};
        },
      },
      {
        ALT: () => {
          const edits = this.SUBRULE(this.block);
          return {kind: 'change', edits, ...prefix};
        },
      },
      {
        ALT: () => {
          const file = this.SUBRULE(this.file);
          return {kind: 'apply', file, ...prefix};
        },
      },
    ]);
  });

  /**
   * Every edit, also the last one, must end in a separator, so that `end` may
   * be a name.
   */
  private readonly block = this.RULE('block', (): Edit[] => {
    const edits: Edit[] = [];
    this.key('begin');
    this.MANY(() => this.CONSUME1(Separator));
    this.AT_LEAST_ONE1(() => {
      edits.push(this.SUBRULE(this.edit));
      this.AT_LEAST_ONE2(() => this.CONSUME2(Separator));
    });
    this.key('end');
    return edits;
  });

  private readonly file = this.RULE('file', (): string => {
    this.key('apply');
    return this.OR([
      {ALT: () => this.CONSUME(Text).image.slice(1, -1)},
      {ALT: () => this.CONSUME(Word).image},
    ]);
  });

  private readonly query = this.RULE('query', (): Statement =>
    this.OR<Statement>([
      {ALT: () => this.SUBRULE(this.show)},
      {ALT: () => this.SUBRULE(this.history)},
      {ALT: () => this.SUBRULE(this.wait)},
      {ALT: () => this.SUBRULE(this.replace)},
      {ALT: () => this.SUBRULE(this.acceptLoss)},
      {
        ALT: () => {
          this.key('help');
          return {kind: 'help'};
        },
      },
    ]),
  );

  private readonly show = this.RULE('show', (): Statement => {
    this.key('show');
    return this.OR<Statement>([
      {ALT: () => this.SUBRULE(this.showItems)},
      {
        ALT: () => {
          this.key('in');
          this.key('force');
          return {kind: 'show-in-force'};
        },
      },
      {
        ALT: () => {
          this.key('control');
          return {kind: 'show-control'};
        },
      },
    ]);
  });

  private readonly showItems = this.RULE('showItems', (): Statement => {
    const items = this.OR<Kind>([
      {ALT: () => this.kind('services', 'service')},
      {ALT: () => this.kind('routes', 'route')},
      {ALT: () => this.kind('policies', 'policy')},
      {ALT: () => this.kind('workspaces', 'workspace')},
      {ALT: () => this.kind('drains', 'drain')},
      {ALT: () => this.kind('quarantines', 'quarantine')},
      {ALT: () => this.kind('rollouts', 'rollout')},
    ]);
    let name: string | undefined;
    this.OPTION(() => {
      const word = this.CONSUME(Word);
      this.ACTION(() => (name = values.toName(word)));
    });
    return name === undefined
      ? {kind: 'show', items}
      : {kind: 'show', items, name};
  });

  private readonly history = this.RULE('history', (): Statement => {
    this.key('history');
    let count = defaultHistoryCount;
    this.OPTION(() => {
      const word = this.CONSUME(Word);
      this.ACTION(() => (count = values.toCount(word, 1)));
    });
    return {kind: 'history', count};
  });

  private readonly wait = this.RULE('wait', (): Statement => {
    this.key('wait');
    const version = this.CONSUME1(Word);
    let within = defaultWait;
    this.OPTION(() => {
      this.key('within');
      const word = this.CONSUME2(Word);
      this.ACTION(() => (within = values.toDuration(word)));
    });
    return this.ACTION(() => ({
      kind: 'wait',
      version: values.toCount(version),
      within,
    }));
  });

  private readonly acceptLoss = this.RULE('acceptLoss', (): Statement => {
    this.key('accept');
    this.key('loss');
    this.key('of');
    const service = this.CONSUME(Word);
    return this.ACTION(() => ({
      kind: 'accept-loss',
      service: values.toName(service),
    }));
  });

  private readonly replace = this.RULE('replace', (): Statement => {
    this.key('replace');
    this.key('control');
    const leaving = this.CONSUME1(Word);
    this.key('with');
    const joining = this.CONSUME2(Word);
    this.key('at');
    const address = this.CONSUME3(Word);
    this.key('in');
    const failureDomain = this.CONSUME4(Word);
    return this.ACTION(() => ({
      kind: 'replace',
      leaving: values.toName(leaving),
      joining: {
        name: values.toName(joining),
        address: values.toAddress(address),
        failureDomain: values.toName(failureDomain),
      },
    }));
  });
}

/** The shared parser; it keeps no state between commands. */
export const parser = new LanguageParser();
