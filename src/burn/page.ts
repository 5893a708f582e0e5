import {drawPlot, escapeText} from '../plot/plot.js';
import type {Plot} from '../plot/plot.js';
import {alertRules, windows} from './burn.js';
import type {AlertName, BurnReport, ServiceBurn, WindowBurn} from './burn.js';
import {formatDuration} from './duration.js';
import {
  describeAlert,
  describeSpending,
  formatBudget,
  formatRate,
  formatShare,
} from './format.js';
import {pageStyle} from './page-style.js';

/** Renders the report as one self-contained HTML page. */
export function renderPage(report: BurnReport): string {
  const time = new Date(report.time).toISOString();
  return `<!doctype html>
<html lang="en">
<head>
<meta charset="utf-8">
<meta name="viewport" content="width=device-width, initial-scale=1">
<title>Service-level burn</title>
<style>${pageStyle}</style>
</head>
<body>
<h1>Service-level burn</h1>
<p>Last scrape ${time}. Samples cover ${formatDuration(report.covered)} of a period of ${formatDuration(report.period)}.
A burn rate of 1 spends the budget exactly over the period.</p>
${renderUnreached(report.unreached)}
${renderSummary(report.services)}
${report.services.map(service => renderService(service, report.time)).join('\n')}
${renderUnjudged(report)}
${renderRules(report.period)}
</body>
</html>
`;
}

function renderUnreached(nodes: readonly string[]): string {
  if (nodes.length === 0) return '';
  const names = nodes.slice(0, 10).map(escapeText).join(', ');
  const rest = nodes.length > 10 ? ` and ${nodes.length - 10} more` : '';
  return `<p class="warning">Not reached, so not counted since their last scrape: ${names}${rest}</p>`;
}

function renderSummary(services: readonly ServiceBurn[]): string {
  if (services.length === 0) {
    return '<p>No answers under an objective were seen.</p>';
  }
  const headings = services[0]!.windows.map(
    window => `<th class="number">${formatDuration(window.length)}</th>`,
  );
  return `<table>
<thead><tr><th>Service</th><th>Policy</th><th>Objective</th><th class="number">Answers</th><th>Budget left</th>${headings.join('')}<th>Alert</th></tr></thead>
<tbody>
${services.map(renderRow).join('\n')}
</tbody>
</table>`;
}

function renderRow(burn: ServiceBurn): string {
  const objective = `${formatShare(burn.target)} within ${formatDuration(burn.latency)}`;
  return `<tr><td><a href="#${anchor(burn)}">${escapeText(burn.service)}</a></td><td>${escapeText(burn.policy)}</td><td>${objective}</td><td class="number">${burn.answers}</td><td>${renderBudget(burn.budgetLeft)}</td>${burn.windows.map(renderRate).join('')}<td class="${burn.alerts[0] ?? 'none'}">${describeAlert(burn)}</td></tr>`;
}

function renderBudget(left: number): string {
  const share = Math.max(0, Math.min(1, left));
  const colour = left <= 0 ? '#d55e00' : '#009e73';
  return `<svg class="bar" viewBox="0 0 100 10" role="img"><rect width="100" height="10" fill="#e5e5e5"/><rect width="${share * 100}" height="10" fill="${colour}"/></svg> ${formatBudget(left)}`;
}

/** Highlights a rate that reaches the threshold of the rule for its window. */
function renderRate(window: WindowBurn): string {
  const rule = alertRules.find(rule =>
    [rule.long, rule.short].some(name => name === window.name),
  );
  const isHot = rule !== undefined && window.rate >= rule.rate;
  return `<td class="number${isHot ? ' hot' : ''}">${formatRate(window)}</td>`;
}

function renderService(burn: ServiceBurn, now: number): string {
  const spending = burn.spending.map(
    spending =>
      `<tr><td>${escapeText(describeSpending(spending))}</td><td class="number">${spending.count}</td><td class="number">${formatShare(spending.share)}</td></tr>`,
  );
  const table =
    spending.length === 0
      ? '<p>Nothing has spent budget.</p>'
      : `<table><thead><tr><th>What spent the budget</th><th class="number">Answers</th><th class="number">Share</th></tr></thead><tbody>${spending.join('')}</tbody></table>`;
  return `<section id="${anchor(burn)}">
<h2>${escapeText(burn.service)} under ${escapeText(burn.policy)}</h2>
${drawPlot(createPlot(burn, now))}
${table}
</section>`;
}

/** Creates a service's plot; the time axis has a unit that fits the history. */
function createPlot(burn: ServiceBurn, now: number): Plot {
  const oldest = now - (burn.history[0]?.time ?? now);
  const unit = [
    {name: 'days', length: 86_400_000},
    {name: 'hours', length: 3_600_000},
    {name: 'minutes', length: 60_000},
    {name: 'seconds', length: 1000},
  ].find(unit => oldest >= 2 * unit.length) ?? {name: 'seconds', length: 1000};
  const rates = burn.history.map(({rate}) => rate).filter(Number.isFinite);
  const highest = Math.max(1, ...rates);
  return {
    title: 'Burn rate',
    xLabel: `${unit.name} before the last scrape`,
    yLabel: 'burn rate',
    series: [
      {
        name: 'burn rate',
        points: burn.history.map(({time, rate}) => ({
          x: (time - now) / unit.length,
          y: Math.min(rate, highest),
        })),
      },
    ],
    guides: alertRules
      .filter(rule => isVisible(rule.rate, highest))
      .map(rule => ({label: `${rule.name} ${rule.rate}`, y: rule.rate})),
  };
}

/**
 * Omits thresholds far above the curve, which flatten it, or close to the axis.
 */
function isVisible(rate: number, highest: number): boolean {
  return rate <= highest * 2 && rate >= highest / 25;
}

function renderUnjudged(report: BurnReport): string {
  if (report.unjudged.length === 0) return '';
  const rows = report.unjudged.map(
    ({service, policy, answers}) =>
      `<li>${escapeText(service)} under ${escapeText(policy)}: ${answers} answers</li>`,
  );
  return `<section><h2>Without an objective, so not judged</h2><ul>${rows.join('')}</ul></section>`;
}

const urgency: Readonly<Record<AlertName, string>> = {
  'page-fast': 'call the person on duty now',
  'page-slow': 'call the person on duty',
  ticket: 'investigate within days',
};

function renderRules(period: number): string {
  const length = (name: string) =>
    formatDuration(
      windows.find(window => window.name === name)!.share * period,
    );
  const rows = alertRules.map(
    rule =>
      `<tr><td class="${rule.name}">${rule.name}</td><td class="number">${rule.rate}</td><td>${length(rule.long)} and ${length(rule.short)}</td><td>${urgency[rule.name]}</td></tr>`,
  );
  return `<section><h2>Alerts</h2><p>An alert fires when both of its windows burn at its rate or faster.</p><table><thead><tr><th>Alert</th><th class="number">Rate</th><th>Windows</th><th>What to do</th></tr></thead><tbody>${rows.join('')}</tbody></table></section>`;
}

function anchor(burn: ServiceBurn): string {
  return escapeText(`${burn.service}-${burn.policy}`);
}
