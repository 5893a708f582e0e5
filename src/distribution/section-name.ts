/**
 * Names of sections. A service of few routes is one section and has its name; a
 * service of many is cut into parts, and each part but the first adds its number.
 */

/** Stands in no service's name. */
const separator = '/';

/** The name of a service's part. */
export function sectionName(service: string, part: number): string {
  return part === 0 ? service : `${service}${separator}${part}`;
}

/** The service that a section is of. */
export function serviceOf(name: string): string {
  const end = name.indexOf(separator);
  return end < 0 ? name : name.slice(0, end);
}

/** The sections of one service in a whole state, whose parts have no gap. */
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
