import murmurhash from 'murmurhash';
import {Packr} from 'msgpackr';
import type {
  Configuration,
  Drain,
  Policy,
  Quarantine,
  Route,
  Service,
} from '../configuration/configuration.js';
import {compress, decompress} from '../configuration/compression.js';
import {sortKeys} from '../configuration/sort-keys.js';
import {distributionCodes} from './codes.js';
import {failure, success} from '../result/failure.js';
import type {Result} from '../result/failure.js';
import type {PackedSection, Section} from './messages.js';
import {sectionName, serviceOf} from './section-name.js';

const packr = new Packr({useRecords: false, variableMapSize: true});

/**
 * Routes in a section, about. A change of one route sends its section to each
 * node: with 1,700 routes in one section 114 kB, a tenth of a second of a node's
 * link, in parts of this size 3 to 5 kB before packing.
 */
const routesPerSection = 64;

/** Cuts a configuration into sections: one a service, or several of many routes. */
export function splitSections(
  configuration: Configuration,
): Map<string, Section> {
  const routes = groupByService(configuration.routes.values());
  const drains = groupByService(configuration.drains.values());
  const quarantines = groupByService(configuration.quarantines.values());
  const sections = new Map<string, Section>();
  for (const service of configuration.services.values()) {
    const parts = cutRoutes(routes.get(service.name) ?? []);
    for (const [part, ownRoutes] of parts.entries()) {
      sections.set(sectionName(service.name, part), {
        service,
        routes: ownRoutes,
        policies: policiesOf(ownRoutes, configuration),
        drains: part === 0 ? (drains.get(service.name) ?? []) : [],
        ...(part === 0 && quarantinesOf(quarantines.get(service.name))),
      });
    }
  }
  return sections;
}

/**
 * Cuts a service's routes into parts. A route's part follows from its name and
 * from the number of parts, a power of two, so that a route which comes, changes
 * or goes leaves the other parts as they are.
 */
function cutRoutes(routes: readonly Route[]): Route[][] {
  let count = 1;
  while (count * routesPerSection < routes.length) count *= 2;
  if (count === 1) return [[...routes]];
  const parts = Array.from({length: count}, (): Route[] => []);
  for (const route of routes)
    parts[murmurhash.v3(route.name) % count]!.push(route);
  return parts;
}

/** Packs a section; equal sections give equal bytes in every process. */
export function packSection(name: string, section: Section): PackedSection {
  return {name, bytes: compress(packr.pack(sortKeys(section)))};
}

/** Unpacks a section; bytes that are none give a numbered refusal. */
export function unpackSection(packed: PackedSection): Result<Section> {
  try {
    const section = packr.unpack(decompress(packed.bytes)) as Section;
    if (section.service.name === serviceOf(packed.name)) {
      return success(section);
    }
    return malformed(`section ${packed.name} is of ${section.service.name}`);
  } catch (error) {
    return malformed(`section ${packed.name}: ${(error as Error).message}`);
  }
}

/**
 * Joins sections into a configuration, or refuses a reference without target.
 * `isChecked` is false in tests only.
 */
export function joinSections(
  version: number,
  sections: Iterable<Section>,
  isChecked = true,
): Result<Configuration> {
  const services = new Map<string, Service>();
  const routes = new Map<string, Route>();
  const policies = new Map<string, Policy>();
  const drains = new Map<string, Drain>();
  const quarantines = new Map<string, Quarantine>();
  for (const section of sections) {
    const problem = findBadReference(section, routes);
    if (problem !== undefined && isChecked) {
      return failure(distributionCodes.badReference, problem);
    }
    services.set(section.service.name, section.service);
    for (const route of section.routes) routes.set(route.name, route);
    for (const policy of section.policies) policies.set(policy.name, policy);
    for (const drain of section.drains) drains.set(drain.name, drain);
    for (const one of section.quarantines ?? []) quarantines.set(one.name, one);
  }
  return success({version, services, routes, policies, drains, quarantines});
}

function findBadReference(
  section: Section,
  routes: ReadonlyMap<string, Route>,
): string | undefined {
  const service = section.service.name;
  const policies = new Set(section.policies.map(policy => policy.name));
  for (const route of section.routes) {
    if (route.service !== service) {
      return `route ${route.name} of section ${service} is to ${route.service}`;
    }
    if (!policies.has(route.policy)) {
      return `route ${route.name} lacks its policy ${route.policy}`;
    }
    if (routes.has(route.name)) {
      return `route ${route.name} stands in two sections, one is ${service}`;
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

/** Left out where there are none, as nearly always. */
function quarantinesOf(
  quarantines: Quarantine[] | undefined,
): Pick<Section, 'quarantines'> {
  return quarantines === undefined ? {} : {quarantines};
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
