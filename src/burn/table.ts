import type {BurnReport, ServiceBurn} from './burn.js';
import {formatDuration} from './duration.js';
import {
  describeAlert,
  describeSpending,
  formatBudget,
  formatRate,
  formatShare,
} from './format.js';

/** Renders the report as text for a terminal. */
export function renderTable(report: BurnReport): string {
  const lines = [
    `Service-level burn at ${new Date(report.time).toISOString()}`,
    `Samples cover ${formatDuration(report.covered)} of a period of ${formatDuration(report.period)}; a rate of 1 spends the budget exactly over the period.`,
    '',
    ...renderRows(report.services),
    ...report.services.flatMap(renderSpending),
    ...report.unjudged.map(
      ({service, policy, answers}) =>
        `No objective for ${service} under ${policy}: ${answers} answers not judged.`,
    ),
    ...renderUnreached(report.unreached),
  ];
  return `${lines.join('\n')}\n`;
}

function renderRows(services: readonly ServiceBurn[]): string[] {
  if (services.length === 0)
    return ['No answers under an objective were seen.'];
  const header = [
    'service',
    'policy',
    'objective',
    'answers',
    'budget left',
    ...services[0]!.windows.map(({length}) => formatDuration(length)),
    'alert',
  ];
  const rows = services.map(burn => [
    burn.service,
    burn.policy,
    `${formatShare(burn.target)} in ${formatDuration(burn.latency)}`,
    burn.answers.toString(),
    formatBudget(burn.budgetLeft),
    ...burn.windows.map(formatRate),
    describeAlert(burn),
  ]);
  return align([header, ...rows]);
}

function align(rows: readonly string[][]): string[] {
  const widths = rows[0]!.map((_, column) =>
    Math.max(...rows.map(row => row[column]!.length)),
  );
  return rows.map(row =>
    row
      .map((cell, column) => cell.padEnd(widths[column]!))
      .join('  ')
      .trimEnd(),
  );
}

function renderSpending(burn: ServiceBurn): string[] {
  if (burn.spending.length === 0) return [];
  return [
    '',
    `${burn.service} under ${burn.policy}: ${burn.spent} answers spent budget`,
    ...burn.spending.map(
      spending =>
        `  ${formatShare(spending.share).padStart(7)}  ${describeSpending(spending)} (${spending.count})`,
    ),
  ];
}

function renderUnreached(nodes: readonly string[]): string[] {
  if (nodes.length === 0) return [];
  const names = nodes.slice(0, 10).join(', ');
  const rest = nodes.length > 10 ? ` and ${nodes.length - 10} more` : '';
  return [
    '',
    `Not reached, so not counted since their last scrape: ${names}${rest}`,
  ];
}
