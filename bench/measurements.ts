import type {Experiment, Row, RunOptions} from './experiment.js';

/** Formats the rows of docs/MEASUREMENTS.md. */

/** Returns one table row per figure. */
export function measurementRows(
  date: string,
  experiment: Experiment,
  options: RunOptions,
  rows: readonly Row[],
): string {
  const command = `npm run bench -- ${experiment.name} --seed ${options.seed} --seconds ${options.seconds}`;
  return rows
    .map(row =>
      [
        date,
        experiment.name,
        `\`${command}\``,
        experiment.baseline,
        `${row.figure} ${formatFigure(row.value)} ${row.unit}`,
        row.ratio === undefined ? '(baseline)' : formatFigure(row.ratio),
      ].join(' | '),
    )
    .map(cells => `| ${cells} |\n`)
    .join('');
}

/** Formats a figure with four significant digits. */
export function formatFigure(value: number): string {
  if (Number.isInteger(value)) return value.toString();
  return Number(value.toPrecision(4)).toString();
}
