import {Packr} from 'msgpackr';
import type {
  Configuration,
  Drain,
  Policy,
  Quarantine,
  Rollout,
  Route,
  Service,
  Workspace,
} from '../configuration/configuration.js';
import {compress, decompress} from '../configuration/compression.js';
import {sortKeys} from '../configuration/sort-keys.js';
import {distributionCodes} from './codes.js';
import {failure, success} from '../result/failure.js';
import type {Result} from '../result/failure.js';
import type {PackedSection, Section} from './messages.js';
import {partOf} from './parted-map.js';
import {sectionName, serviceOf, workspacesSection} from './section-name.js';

const packr = new Packr({useRecords: false, variableMapSize: true});

/**
 * Approximate number of routes per section. A change of one route sends its
 * section to every node. With 1,700 routes a single section has 114 kB, which
 * takes a tenth of a second on the link of a node; parts of this size have 3 to
 * 5 kB before packing.
 */
const routesPerSection = 64;

/**
 * Approximate number of workspaces per section, so that a change of one
 * workspace sends a few kB to every node.
 */
const workspacesPerSection = 64;

/**
 * Divides a configuration into sections: one per service, or several for a
 * service with many routes.
 */
export function splitSections(
  configuration: Configuration,
): Map<string, Section> {
  const routes = groupByService(configuration.routes.values());
  const drains = groupByService(configuration.drains.values());
  const quarantines = groupByService(configuration.quarantines.values());
  const sections = new Map<string, Section>();
  for (const service of configuration.services.values()) {
    const parts = divide(routes.get(service.name) ?? [], routesPerSection);
    for (const [part, partRoutes] of parts.entries()) {
      sections.set(sectionName(service.name, part), {
        service,
        routes: partRoutes,
        policies: policiesOf(partRoutes, configuration),
        drains: part === 0 ? (drains.get(service.name) ?? []) : [],
        ...(part === 0 && quarantinesOf(quarantines.get(service.name))),
        ...(part === 0 && rolloutOf(service.name, configuration)),
      });
    }
  }
  addWorkspaces(sections, configuration.workspaces);
  return sections;
}

/** One object, so that unchanged sections are found by identity. */
const workspacesService: Service = {name: workspacesSection, slowStart: 0};

/**
 * Adds the sections of workspaces. They have the form of a service's sections,
 * so that processes of an earlier release pass them on.
 */
function addWorkspaces(
  sections: Map<string, Section>,
  workspaces: ReadonlyMap<string, Workspace>,
): void {
  if (workspaces.size === 0) return;
  for (const [part, members] of divideWorkspaces(workspaces).entries()) {
    sections.set(sectionName(workspacesSection, part), {
      service: workspacesService,
      routes: [],
      policies: [],
      drains: [],
      workspaces: members,
    });
  }
}

/** The parts of each map, which are the same until a workspace changes. */
const dividedWorkspaces = new WeakMap<
  ReadonlyMap<string, Workspace>,
  ReadonlyArray<readonly Workspace[]>
>();

function divideWorkspaces(
  workspaces: ReadonlyMap<string, Workspace>,
): ReadonlyArray<readonly Workspace[]> {
  const known = dividedWorkspaces.get(workspaces);
  if (known !== undefined) return known;
  const parts = divide([...workspaces.values()], workspacesPerSection);
  for (const part of parts) part.sort(byName);
  dividedWorkspaces.set(workspaces, parts);
  return parts;
}

/**
 * Divides items into parts. The part of an item is determined by its name and by
 * the number of parts, a power of two, so that adding, changing or removing an
 * item leaves the other parts unchanged.
 */
function divide<T extends {readonly name: string}>(
  items: readonly T[],
  partSize: number,
): T[][] {
  let count = 1;
  while (count * partSize < items.length) count *= 2;
  if (count === 1) return [[...items]];
  const parts = Array.from({length: count}, (): T[] => []);
  for (const item of items) parts[knownPartOf(item, count)]!.push(item);
  return parts;
}

interface KnownPart {
  readonly part: number;
  readonly count: number;
}

/** Items are never changed in place; computing 10,000 parts takes 7 ms. */
const knownParts = new WeakMap<{readonly name: string}, KnownPart>();

function knownPartOf(item: {readonly name: string}, count: number): number {
  const known = knownParts.get(item);
  if (known?.count === count) return known.part;
  const part = partOf(item.name, count);
  knownParts.set(item, {part, count});
  return part;
}

/** Packs a section; equal sections have equal bytes in every process. */
export function packSection(name: string, section: Section): PackedSection {
  return {name, bytes: compress(packr.pack(sortKeys(section)))};
}

/**
 * Unpacks a section; fails with a numbered code if the bytes are not a section.
 */
export function unpackSection(packed: PackedSection): Result<Section> {
  try {
    const section = packr.unpack(decompress(packed.bytes)) as Section;
    if (section.service.name === serviceOf(packed.name)) {
      return success(section);
    }
    return malformed(
      `section ${packed.name} belongs to ${section.service.name}`,
    );
  } catch (error) {
    return malformed(`section ${packed.name}: ${(error as Error).message}`);
  }
}

/**
 * Joins sections into a configuration; fails if a reference has no target. The
 * workspaces are joined by the caller. `isChecked` is false in tests only.
 */
export function joinSections(
  version: number,
  sections: Iterable<Section>,
  workspaces: ReadonlyMap<string, Workspace>,
  isChecked = true,
): Result<Configuration> {
  const services = new Map<string, Service>();
  const routes = new Map<string, Route>();
  const policies = new Map<string, Policy>();
  const drains = new Map<string, Drain>();
  const quarantines = new Map<string, Quarantine>();
  const rollouts = new Map<string, Rollout>();
  for (const section of sections) {
    const problem = findBadReference(section, routes);
    if (problem !== undefined && isChecked) {
      return failure(distributionCodes.badReference, problem);
    }
    if (section.service.name === workspacesSection) continue;
    services.set(section.service.name, section.service);
    for (const route of section.routes) routes.set(route.name, route);
    for (const policy of section.policies) policies.set(policy.name, policy);
    for (const drain of section.drains) drains.set(drain.name, drain);
    for (const quarantine of section.quarantines ?? [])
      quarantines.set(quarantine.name, quarantine);
    const {rollout} = section;
    if (rollout !== undefined) rollouts.set(rollout.name, rollout);
  }
  return success({
    version,
    services,
    routes,
    policies,
    workspaces,
    drains,
    quarantines,
    rollouts,
  });
}

function findBadReference(
  section: Section,
  routes: ReadonlyMap<string, Route>,
): string | undefined {
  const service = section.service.name;
  const policies = new Set(section.policies.map(policy => policy.name));
  for (const route of section.routes) {
    if (route.service !== service) {
      return `route ${route.name} of section ${service} refers to ${route.service}`;
    }
    if (!policies.has(route.policy)) {
      return `route ${route.name} has no policy ${route.policy}`;
    }
    if (routes.has(route.name)) {
      return `route ${route.name} is in two sections, one of them of service ${service}`;
    }
  }
  return undefined;
}

function groupByService<T extends {name: string; service: string}>(
  items: Iterable<T>,
): Map<string, T[]> {
  const groups = new Map<string, T[]>();
  for (const item of items) {
    const group = groups.get(item.service);
    if (group === undefined) groups.set(item.service, [item]);
    else group.push(item);
  }
  for (const group of groups.values()) group.sort(byName);
  return groups;
}

/** The property is omitted if there are none, which is usual. */
function quarantinesOf(
  quarantines: Quarantine[] | undefined,
): Pick<Section, 'quarantines'> {
  return quarantines === undefined ? {} : {quarantines};
}

function rolloutOf(
  service: string,
  {rollouts}: Configuration,
): Pick<Section, 'rollout'> {
  const rollout = rollouts.get(service);
  return rollout === undefined ? {} : {rollout};
}

function policiesOf(
  routes: readonly Route[],
  configuration: Configuration,
): Policy[] {
  const names = [...new Set(routes.map(route => route.policy))].sort();
  const policies = names.map(name => configuration.policies.get(name));
  return policies.filter(policy => policy !== undefined);
}

function byName(left: {name: string}, right: {name: string}): number {
  if (left.name === right.name) return 0;
  return left.name < right.name ? -1 : 1;
}

function malformed(problem: string): Result<never> {
  return failure(distributionCodes.malformed, problem);
}
