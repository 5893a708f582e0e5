import {extent} from 'd3-array';
import {scaleLinear, scaleLog, scaleOrdinal} from 'd3-scale';
import {line} from 'd3-shape';
/** Draws plots as self-contained SVG. */

/** One curve of a plot. */
export interface Series {
  readonly name: string;
  readonly points: ReadonlyArray<{readonly x: number; readonly y: number}>;
}

/** A plot with labelled axes. */
export interface Plot {
  readonly title: string;
  readonly xLabel: string;
  readonly yLabel: string;
  readonly xScale?: 'linear' | 'log';
  readonly yScale?: 'linear' | 'log';
  readonly series: readonly Series[];
  /** Horizontal dashed lines, such as an alert's threshold. */
  readonly guides?: ReadonlyArray<{readonly label: string; readonly y: number}>;
}

const width = 720;
const height = 420;
const margin = {top: 40, right: 170, bottom: 50, left: 70};

/** Colours that are distinguishable with a colour vision deficiency. */
const colours = [
  '#0072b2',
  '#d55e00',
  '#009e73',
  '#cc79a7',
  '#e69f00',
  '#56b4e9',
  '#000000',
];

type Scale = ReturnType<typeof createScale>;

/** Renders a plot as one SVG element. */
export function drawPlot(plot: Plot): string {
  const points = plot.series.flatMap(series => series.points);
  const guides = plot.guides ?? [];
  const x = createScale(
    plot.xScale ?? 'linear',
    points.map(point => point.x),
    [margin.left, width - margin.right],
  );
  const y = createScale(
    plot.yScale ?? 'linear',
    [...points.map(point => point.y), ...guides.map(guide => guide.y)],
    [height - margin.bottom, margin.top],
  );
  const names = plot.series.map(series => series.name);
  const colour = scaleOrdinal<string, string>().domain(names).range(colours);
  return [
    `<svg xmlns="http://www.w3.org/2000/svg" viewBox="0 0 ${width} ${height}" font-family="sans-serif" font-size="12" role="img">`,
    `<rect width="${width}" height="${height}" fill="white"/>`,
    `<text x="${margin.left}" y="22" font-size="15">${escapeText(plot.title)}</text>`,
    drawXAxis(x, plot.xLabel),
    drawYAxis(y, plot.yLabel),
    ...guides.map(guide => drawGuide(guide, y(guide.y))),
    ...plot.series.map(series => drawSeries(series, x, y, colour(series.name))),
    ...names.map((name, index) => drawLegend(name, index, colour(name))),
    '</svg>',
  ].join('\n');
}

function createScale(
  kind: 'linear' | 'log',
  values: readonly number[],
  range: [number, number],
) {
  if (kind === 'log') {
    const positive = values.filter(value => value > 0);
    const [min = 1, max = 10] = extent(positive) as [number?, number?];
    return scaleLog().domain([min, max]).range(range).nice();
  }
  const [min = 0, max = 1] = extent(values) as [number?, number?];
  return scaleLinear()
    .domain([Math.min(0, min), max === min ? min + 1 : max])
    .range(range)
    .nice();
}

function drawXAxis(scale: Scale, label: string): string {
  const bottom = height - margin.bottom;
  const format = scale.tickFormat(8);
  const ticks = scale.ticks(8).map(tick => {
    const position = scale(tick);
    return `<line x1="${position}" x2="${position}" y1="${margin.top}" y2="${bottom}" stroke="#e5e5e5"/><text x="${position}" y="${bottom + 18}" text-anchor="middle">${format(tick)}</text>`;
  });
  const middle = (margin.left + width - margin.right) / 2;
  return `${ticks.join('')}<text x="${middle}" y="${height - 10}" text-anchor="middle">${escapeText(label)}</text>`;
}

function drawYAxis(scale: Scale, label: string): string {
  const end = width - margin.right;
  const format = scale.tickFormat(6);
  const ticks = scale.ticks(6).map(tick => {
    const position = scale(tick);
    return `<line x1="${margin.left}" x2="${end}" y1="${position}" y2="${position}" stroke="#e5e5e5"/><text x="${margin.left - 8}" y="${position + 4}" text-anchor="end">${format(tick)}</text>`;
  });
  const middle = (margin.top + height - margin.bottom) / 2;
  return `${ticks.join('')}<text transform="translate(16 ${middle}) rotate(-90)" text-anchor="middle">${escapeText(label)}</text>`;
}

function drawSeries(
  series: Series,
  x: Scale,
  y: Scale,
  colour: string,
): string {
  const path = line<{x: number; y: number}>()
    .x(point => x(point.x))
    .y(point => y(point.y));
  const dots = series.points.map(
    point => `<circle cx="${x(point.x)}" cy="${y(point.y)}" r="2.5"/>`,
  );
  return `<path d="${path([...series.points]) ?? ''}" fill="none" stroke="${colour}" stroke-width="2"/><g fill="${colour}">${dots.join('')}</g>`;
}

function drawGuide(guide: {label: string}, position: number): string {
  const end = width - margin.right;
  return `<line x1="${margin.left}" x2="${end}" y1="${position}" y2="${position}" stroke="#999" stroke-dasharray="5 4"/><text x="${end - 4}" y="${position - 4}" text-anchor="end" fill="#666">${escapeText(guide.label)}</text>`;
}

function drawLegend(name: string, index: number, colour: string): string {
  const left = width - margin.right + 12;
  const top = margin.top + index * 18;
  return `<rect x="${left}" y="${top}" width="12" height="12" fill="${colour}"/><text x="${left + 18}" y="${top + 11}">${escapeText(name)}</text>`;
}

/** Escapes text for SVG and HTML. */
export function escapeText(text: string): string {
  return text
    .replaceAll('&', '&amp;')
    .replaceAll('<', '&lt;')
    .replaceAll('>', '&gt;')
    .replaceAll('"', '&quot;');
}
