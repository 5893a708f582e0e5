/** Formats and parses durations for people. */

const units = [
  {name: 'd', length: 86_400_000},
  {name: 'h', length: 3_600_000},
  {name: 'm', length: 60_000},
  {name: 's', length: 1000},
] as const;

/** Formats milliseconds as one number with its unit, such as `6h` or `2.5s`. */
export function formatDuration(milliseconds: number): string {
  const unit = units.find(unit => milliseconds >= unit.length);
  if (unit === undefined) return `${Math.round(milliseconds)}ms`;
  return `${Number((milliseconds / unit.length).toFixed(1))}${unit.name}`;
}

/**
 * Parses `90s`, `5m`, `2h` or `30d` to milliseconds; undefined for other text.
 */
export function parseDuration(text: string): number | undefined {
  const match = /^(\d+(?:\.\d+)?)(d|h|m|s)$/.exec(text);
  if (match === null) return undefined;
  const unit = units.find(unit => unit.name === match[2])!;
  const length = Number(match[1]) * unit.length;
  return length > 0 ? length : undefined;
}
