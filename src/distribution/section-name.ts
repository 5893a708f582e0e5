/**
 * Names of sections. A service with few routes is one section, named after the
 * service. A service with many routes is divided into parts; each part except
 * the first appends its number to the name.
 */

import type {Interest} from './messages.js';

/** Does not occur in names of services. */
const separator = '/';

/**
 * Stands for a service in the names of the sections with workspaces; no service
 * can have this name.
 */
export const workspacesSection = '~workspaces';

/**
 * Adds the sections of workspaces to an interest: each node decides on the keys
 * of its callers, whatever services they call.
 */
export function withWorkspaces(services: Interest): Interest {
  if (services === 'all') return services;
  return [...new Set([...services, workspacesSection])];
}

/** Returns the name of one part of a service. */
export function sectionName(service: string, part: number): string {
  return part === 0 ? service : `${service}${separator}${part}`;
}

/** Returns the service of a section. */
export function serviceOf(name: string): string {
  const end = name.indexOf(separator);
  return end < 0 ? name : name.slice(0, end);
}

/**
 * Yields the sections of one service in a whole state, in which the part
 * numbers have no gap.
 */
export function* sectionsOfService<T>(
  sections: ReadonlyMap<string, T>,
  service: string,
): Generator<[string, T]> {
  for (let part = 0; ; part++) {
    const name = sectionName(service, part);
    const section = sections.get(name);
    if (section === undefined) return;
    yield [name, section];
  }
}
