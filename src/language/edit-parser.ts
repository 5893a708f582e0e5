import {EmbeddedActionsParser} from 'chevrotain';
import type {IToken} from 'chevrotain';
import type {
  Kind,
  Policy,
  Priority,
  Route,
  Workspace,
} from '../configuration/configuration.js';
import type {Edit} from '../configuration/messages.js';
import {keyword, Separator, Text, vocabulary, Word} from './tokens.js';
import type {Keyword} from './tokens.js';
import * as values from './values.js';
import {reject} from './values.js';

/** Values of a policy's fields that a command does not give. */
const policyDefaults = {
  priority: 'normal',
  attempts: 1,
  repeatability: 'once',
  bodyLimit: 1024 * 1024,
} as const;

/** Target share of good answers of a policy without an objective. */
const defaultTarget = 0.99;

type Fields<T> = {-readonly [K in keyof T]?: T[K]};

/** A route whose access is stated; `public` is the default. */
interface RouteFields extends Omit<Route, 'access'> {
  readonly access: 'keyed' | 'public';
}

/** The fields of a workspace as a command gives them. */
interface WorkspaceFields extends Pick<Workspace, 'keys' | 'priority'> {
  readonly rate: number;
  readonly burst: number;
}

/**
 * The grammar of edits. Each rule reads its words and returns a typed edit.
 * Values are validated inside `ACTION`, which chevrotain skips while it
 * analyzes the grammar.
 */
export abstract class EditParser extends EmbeddedActionsParser {
  constructor() {
    super(vocabulary, {maxLookahead: 2});
  }

  /** Content of a file of edits. */
  readonly content = this.RULE('content', (): Edit[] => {
    this.MANY(() => this.CONSUME(Separator));
    return this.SUBRULE(this.edits);
  });

  /** One or more edits, separated by separators. */
  protected readonly edits = this.RULE('edits', (): Edit[] => {
    const edits: Edit[] = [];
    edits.push(this.SUBRULE1(this.edit));
    this.MANY(() => {
      this.AT_LEAST_ONE(() => this.CONSUME(Separator));
      this.OPTION(() => edits.push(this.SUBRULE2(this.edit)));
    });
    return edits;
  });

  protected readonly edit = this.RULE('edit', (): Edit =>
    this.OR<Edit>([
      {ALT: () => this.SUBRULE(this.put)},
      {ALT: () => this.SUBRULE(this.remove)},
      {ALT: () => this.SUBRULE(this.drain)},
      {ALT: () => this.SUBRULE(this.undrain)},
      {ALT: () => this.SUBRULE(this.release)},
      {ALT: () => this.SUBRULE(this.startRollout)},
      {ALT: () => this.SUBRULE(this.rollBack)},
    ]),
  );

  private readonly put = this.RULE('put', (): Edit => {
    this.key('put');
    return this.OR<Edit>([
      {ALT: () => this.SUBRULE(this.service)},
      {ALT: () => this.SUBRULE(this.policy)},
      {ALT: () => this.SUBRULE(this.route)},
      {ALT: () => this.SUBRULE(this.workspace)},
    ]);
  });

  private readonly service = this.RULE('service', (): Edit => {
    this.key('service');
    const name = this.CONSUME1(Word);
    let slowStart = 0;
    this.OPTION(() => {
      this.key('slow-start');
      const duration = this.CONSUME2(Word);
      this.ACTION(() => (slowStart = values.toDuration(duration)));
    });
    return this.ACTION(() => ({
      action: 'put',
      item: {kind: 'service', value: {name: values.toName(name), slowStart}},
    }));
  });

  private readonly policy = this.RULE('policy', (): Edit => {
    this.key('policy');
    const name = this.CONSUME(Word);
    const fields: Fields<Policy> = {};
    this.MANY(() => this.SUBRULE(this.policyField, {ARGS: [fields]}));
    return this.ACTION(() => ({
      action: 'put',
      item: {kind: 'policy', value: toPolicy(name, fields)},
    }));
  });

  private readonly policyField = this.RULE(
    'policyField',
    (fields: Fields<Policy>) => {
      this.OR([
        {
          ALT: () =>
            this.field(1, fields, 'priority', 'priority', word =>
              values.toChoice(word, ['critical', 'normal', 'background']),
            ),
        },
        {
          ALT: () =>
            this.field(2, fields, 'deadline', 'deadline', word =>
              values.toDuration(word),
            ),
        },
        {
          ALT: () =>
            this.field(3, fields, 'attempts', 'attempts', word =>
              values.toCount(word, 1),
            ),
        },
        {
          ALT: () =>
            this.field(4, fields, 'repeat', 'repeatability', word =>
              values.toChoice(word, ['once', 'idempotent']),
            ),
        },
        {
          ALT: () =>
            this.field(5, fields, 'body', 'bodyLimit', word =>
              values.toSize(word),
            ),
        },
        {ALT: () => this.SUBRULE(this.objective, {ARGS: [fields]})},
      ]);
    },
  );

  private readonly objective = this.RULE(
    'objective',
    (fields: Fields<Policy>) => {
      const key = this.key('objective');
      const share = this.CONSUME1(Word);
      this.key('within');
      const duration = this.CONSUME2(Word);
      this.ACTION(() =>
        setOnce(fields, 'objective', key, {
          target: values.toShare(share),
          latency: values.toDuration(duration),
        }),
      );
    },
  );

  private readonly route = this.RULE('route', (): Edit => {
    this.key('route');
    const name = this.CONSUME(Word);
    const fields: Fields<RouteFields> = {};
    this.MANY(() => this.SUBRULE(this.routeField, {ARGS: [fields]}));
    return this.ACTION(() => ({
      action: 'put',
      item: {kind: 'route', value: toRoute(name, fields)},
    }));
  });

  private readonly routeField = this.RULE(
    'routeField',
    (fields: Fields<RouteFields>) => {
      this.OR([
        {
          ALT: () =>
            this.field(1, fields, 'prefix', 'prefix', word =>
              values.toPath(word),
            ),
        },
        {
          ALT: () =>
            this.field(2, fields, 'methods', 'methods', word =>
              values.toMethods(word),
            ),
        },
        {
          ALT: () =>
            this.field(3, fields, 'to', 'service', word => values.toName(word)),
        },
        {
          ALT: () =>
            this.field(4, fields, 'under', 'policy', word =>
              values.toName(word),
            ),
        },
        {ALT: () => this.access(fields, 'keyed')},
        {ALT: () => this.access(fields, 'public')},
      ]);
    },
  );

  private readonly workspace = this.RULE('workspace', (): Edit => {
    this.key('workspace');
    const name = this.CONSUME(Word);
    const fields: Fields<WorkspaceFields> = {};
    this.MANY(() => this.SUBRULE(this.workspaceField, {ARGS: [fields]}));
    return this.ACTION(() => ({
      action: 'put',
      item: {kind: 'workspace', value: toWorkspace(name, fields)},
    }));
  });

  private readonly workspaceField = this.RULE(
    'workspaceField',
    (fields: Fields<WorkspaceFields>) => {
      this.OR([
        {ALT: () => this.SUBRULE(this.keys, {ARGS: [fields]})},
        {
          ALT: () =>
            this.field(1, fields, 'priority', 'priority', word =>
              values.toChoice<Priority>(word, [
                'critical',
                'normal',
                'background',
              ]),
            ),
        },
        {
          ALT: () =>
            this.field(2, fields, 'rate', 'rate', word => values.toRate(word)),
        },
        {
          ALT: () =>
            this.field(3, fields, 'burst', 'burst', word =>
              values.toBurst(word),
            ),
        },
      ]);
    },
  );

  private readonly keys = this.RULE(
    'keys',
    (fields: Fields<WorkspaceFields>) => {
      const key = this.key('keys');
      const list = this.OR([
        {ALT: () => this.CONSUME(Text)},
        {ALT: () => this.CONSUME(Word)},
      ]);
      this.ACTION(() =>
        setOnce(fields, 'keys', key, values.toKeyDigests(list)),
      );
    },
  );

  private readonly remove = this.RULE('remove', (): Edit => {
    this.key('remove');
    const kind = this.OR<Kind>([
      {ALT: () => this.kind('service', 'service')},
      {ALT: () => this.kind('route', 'route')},
      {ALT: () => this.kind('policy', 'policy')},
      {ALT: () => this.kind('workspace', 'workspace')},
    ]);
    const name = this.CONSUME(Word);
    return this.ACTION(() => ({
      action: 'remove',
      kind,
      name: values.toName(name),
    }));
  });

  private readonly drain = this.RULE('drain', (): Edit => {
    this.key('drain');
    const name = this.CONSUME1(Word);
    this.key('of');
    const service = this.CONSUME2(Word);
    return this.ACTION(() => ({
      action: 'put',
      item: {
        kind: 'drain',
        value: {name: values.toName(name), service: values.toName(service)},
      },
    }));
  });

  private readonly undrain = this.RULE('undrain', (): Edit => {
    this.key('undrain');
    const name = this.CONSUME(Word);
    return this.ACTION(() => ({
      action: 'remove',
      kind: 'drain',
      name: values.toName(name),
    }));
  });

  private readonly release = this.RULE('release', (): Edit => {
    this.key('release');
    const name = this.CONSUME(Word);
    return this.ACTION(() => ({
      action: 'remove',
      kind: 'quarantine',
      name: values.toName(name),
    }));
  });

  private readonly startRollout = this.RULE('startRollout', (): Edit => {
    this.key('start');
    this.key('rollout');
    this.key('of');
    const service = this.CONSUME1(Word);
    this.key('to');
    const target = this.CONSUME2(Word);
    this.key('within');
    const duration = this.CONSUME3(Word);
    return this.ACTION(() => ({
      action: 'start-rollout',
      service: values.toName(service),
      target: values.toVersion(target),
      duration: values.toPositiveDuration(duration),
    }));
  });

  private readonly rollBack = this.RULE('rollBack', (): Edit => {
    this.key('roll');
    this.key('back');
    const service = this.CONSUME(Word);
    return this.ACTION(() => ({
      action: 'roll-back',
      service: values.toName(service),
      reason: 'by an operator',
    }));
  });

  protected key(text: Keyword): IToken {
    return this.CONSUME(keyword(text));
  }

  protected kind(text: Keyword, kind: Kind): Kind {
    this.key(text);
    return kind;
  }

  private access(
    fields: Fields<RouteFields>,
    access: RouteFields['access'],
  ): void {
    const key = this.key(access);
    this.ACTION(() => {
      if (fields.access !== undefined && fields.access !== access) {
        reject(key, 'either keyed or public, not both');
      }
      setOnce(fields, 'access', key, access);
    });
  }

  /**
   * Reads a keyword and the word after it. `index` is the chevrotain index of
   * the `CONSUME` call, which must be unique within a rule.
   */
  private field<T, K extends keyof T>(
    index: number,
    fields: Fields<T>,
    text: Keyword,
    property: K,
    convert: (word: IToken) => T[K],
  ): void {
    const key = this.key(text);
    const word = this.consume(index, Word);
    this.ACTION(() => setOnce(fields, property, key, convert(word)));
  }
}

function setOnce<T, K extends keyof T>(
  fields: Fields<T>,
  property: K,
  key: IToken,
  value: T[K],
): void {
  if (fields[property] !== undefined) reject(key, `${key.image} only once`);
  fields[property] = value;
}

function toPolicy(name: IToken, fields: Fields<Policy>): Policy {
  const {deadline} = fields;
  if (deadline === undefined) {
    return reject(name, '"deadline DURATION" after the name of a policy');
  }
  return {
    name: values.toName(name),
    priority: fields.priority ?? policyDefaults.priority,
    deadline,
    attempts: fields.attempts ?? policyDefaults.attempts,
    repeatability: fields.repeatability ?? policyDefaults.repeatability,
    bodyLimit: fields.bodyLimit ?? policyDefaults.bodyLimit,
    objective: fields.objective ?? {target: defaultTarget, latency: deadline},
  };
}

function toRoute(name: IToken, fields: Fields<RouteFields>): Route {
  const {prefix, service, policy} = fields;
  if (prefix === undefined || service === undefined || policy === undefined) {
    return reject(
      name,
      '"prefix PATH", "to SERVICE" and "under POLICY" after the name of a route',
    );
  }
  return {
    name: values.toName(name),
    prefix,
    methods: fields.methods ?? [],
    service,
    policy,
    ...(fields.access === 'keyed' && {access: 'keyed'}),
  };
}

/** Without `burst`, a quota allows the requests of one second at once. */
function toWorkspace(
  name: IToken,
  {keys, priority, rate, burst}: Fields<WorkspaceFields>,
): Workspace {
  if (rate === undefined && burst !== undefined) {
    return reject(name, '"rate NUMBER" for a workspace with a burst');
  }
  return {
    name: values.toName(name),
    keys: keys ?? [],
    ...(priority !== undefined && {priority}),
    ...(rate !== undefined && {quota: {rate, burst: burst ?? rate}}),
  };
}
