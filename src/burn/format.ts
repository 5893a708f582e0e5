import {resultTable} from '../admin/result-table.js';
import type {ServiceBurn, Spending, WindowBurn} from './burn.js';

/** Text that the table and the page share. */

/** The remaining share of a budget, or how many times it was spent. */
export function formatBudget(left: number): string {
  if (left >= 0) return formatShare(left);
  return `spent ${formatNumber(1 - left)} times`;
}

/** Formats a share as a percentage. */
export function formatShare(share: number): string {
  return `${Number((share * 100).toFixed(2))}%`;
}

/** Formats a window's burn rate, or says why it has none. */
export function formatRate(window: WindowBurn): string {
  if (window.covered === 0) return 'no samples';
  if (window.answers === 0) return 'no answers';
  return formatNumber(window.rate);
}

/** Formats numbers below 100 with two decimals, larger ones without. */
function formatNumber(value: number): string {
  if (!Number.isFinite(value)) return 'infinitely many';
  return Number(value.toFixed(value < 100 ? 2 : 0)).toString();
}

/** Describes the result of answers that spent budget. */
export function describeSpending(spending: Spending): string {
  const code = resultTable.find(code => code.number === spending.code);
  const name = code === undefined ? '' : ` ${code.name}`;
  const verdict =
    spending.verdict === 'slow' ? ', later than the objective' : '';
  return `${spending.code}${name}${verdict}`;
}

/** The name of the most urgent alert, or `none`. */
export function describeAlert(burn: ServiceBurn): string {
  return burn.alerts[0] ?? 'none';
}
