import {z} from 'zod';
import {
  controlSchema,
  nodeSchema,
  relaySchema,
} from '../src/settings/schema.js';
import {readDocComments} from './doc-comments.js';
import type {DocComments} from './doc-comments.js';

/** Generates docs/SETTINGS.md from the schema and its doc comments. */

const schemaFile = 'src/settings/schema.ts';
const limitsFile = 'src/configuration/limits.ts';

const head = `# Settings

Generated from \`src/settings/schema.ts\` by \`npm run docs\`; a test checks that the page is current. Each process reads one JSON file: \`foxbarrow control FILE\`, \`foxbarrow relay FILE\`, \`foxbarrow node FILE\`. \`foxbarrow check-settings FILE\` checks a file without starting a process. Unknown keys, wrong types, missing addresses and two listeners on one port are refused with exit code 2 and one line that names the file, the key and the allowed values. Times are in milliseconds, sizes in bytes. An address is an IP address and a port. Complete settings of two deployments are under \`examples/\`.
`;

interface Section {
  readonly title: string;
  readonly shape: z.ZodRawShape;
  /** Variables or interfaces that declare the keys. */
  readonly owners: readonly string[];
}

/** Renders the page. */
export function renderSettings(): string {
  const comments = readDocComments(schemaFile);
  const limits = readDocComments(limitsFile);
  const sections: Section[] = [
    section('Control', controlSchema, ['controlSchema', 'common']),
    section('Relay', relaySchema, ['relaySchema', 'common']),
    section('Node', nodeSchema, ['nodeSchema', 'common']),
    section('Members of the control group', controlSchema.shape.members, [
      'member',
    ]),
    section('Roll-outs', controlSchema.shape.rollouts, ['rollouts']),
    section('The upstream beside a node', nodeSchema.shape.upstream, [
      'upstream',
    ]),
  ];
  const parts = sections.map(each => renderSection(each, comments));
  const limitSection = section('Limits', controlSchema.shape.limits, [
    'Limits',
    'Bounds',
  ]);
  return [head, ...parts, renderSection(limitSection, limits)].join('\n');
}

function section(
  title: string,
  schema: z.ZodTypeAny,
  owners: readonly string[],
): Section {
  const {core} = unwrap(schema);
  const inner = core instanceof z.ZodArray ? core.element : core;
  return {title, shape: (inner as z.AnyZodObject).shape, owners};
}

function renderSection(
  {title, shape, owners}: Section,
  comments: DocComments,
): string {
  const rows = Object.entries(shape).map(([key, schema]) => {
    const comment = owners
      .map(owner => comments.of(owner, key))
      .find(text => text !== '');
    const {core, fallback, isOptional} = unwrap(schema);
    const defaultText =
      fallback === undefined
        ? isOptional
          ? 'optional'
          : 'required'
        : `\`${JSON.stringify(fallback)}\``;
    return `| \`${key}\` | ${describe(core)} | ${defaultText} | ${comment ?? ''} |\n`;
  });
  return `## ${title}\n\n| key | value | default | meaning |\n|---|---|---|---|\n${rows.join('')}`;
}

interface Unwrapped {
  readonly core: z.ZodTypeAny;
  readonly fallback: unknown;
  readonly isOptional: boolean;
}

function unwrap(schema: z.ZodTypeAny): Unwrapped {
  if (schema instanceof z.ZodDefault) {
    const fallback: unknown = schema._def.defaultValue();
    return {...unwrap(schema._def.innerType), fallback};
  }
  if (schema instanceof z.ZodOptional) {
    return {...unwrap(schema.unwrap()), isOptional: true};
  }
  if (schema instanceof z.ZodEffects && !isAddress(schema)) {
    return unwrap(schema.innerType());
  }
  return {core: schema, fallback: undefined, isOptional: false};
}

/**
 * Whether a schema is an address, which is the only string with a refinement.
 */
function isAddress(schema: z.ZodTypeAny): boolean {
  return (
    schema instanceof z.ZodEffects && schema.innerType() instanceof z.ZodString
  );
}

function describe(schema: z.ZodTypeAny): string {
  if (isAddress(schema)) return 'address';
  if (schema instanceof z.ZodLiteral) return `\`"${schema.value}"\``;
  if (schema instanceof z.ZodEnum) {
    return (schema.options as string[])
      .map(option => `\`"${option}"\``)
      .join(', ');
  }
  if (schema instanceof z.ZodUnion) {
    return (schema.options as z.ZodTypeAny[]).map(describe).join(', or ');
  }
  if (schema instanceof z.ZodArray) {
    return `list of: ${describe(schema.element as z.ZodTypeAny)}`;
  }
  if (schema instanceof z.ZodObject) {
    const keys = Object.keys(schema.shape as object).map(key => `\`${key}\``);
    return `object of ${keys.join(', ')}`;
  }
  if (schema instanceof z.ZodNumber) return describeNumber(schema);
  if (schema instanceof z.ZodString) return describeString(schema);
  if (schema instanceof z.ZodBoolean) return 'true or false';
  throw new Error(
    `settings page: no description for ${schema.constructor.name}`,
  );
}

function describeNumber(schema: z.ZodNumber): string {
  const kind = schema.isInt ? 'whole number' : 'number';
  const min =
    schema.minValue === null ? '' : `, at least ${inclusiveMin(schema)}`;
  const max = schema.maxValue === null ? '' : `, at most ${schema.maxValue}`;
  return `${kind}${min}${max}`;
}

/**
 * The inclusive minimum; the schema defines a positive integer as more than 0.
 */
function inclusiveMin(schema: z.ZodNumber): number {
  const check = schema._def.checks.find(check => check.kind === 'min');
  const isExclusive = check?.kind === 'min' && !check.inclusive;
  return (schema.minValue ?? 0) + (isExclusive ? 1 : 0);
}

function describeString(schema: z.ZodString): string {
  const checks = schema._def.checks;
  if (checks.some(check => check.kind === 'regex')) return 'name';
  if (checks.some(check => check.kind === 'startsWith')) return 'path';
  const minLength = schema.minLength;
  return minLength === null || minLength < 2
    ? 'text'
    : `text of at least ${minLength}`;
}
