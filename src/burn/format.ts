import {resultTable} from '../admin/result-table.js';
import type {ServiceBurn, Spending, WindowBurn} from './burn.js';

/** Wording that the table and the page share. */

/** What is left of a budget, or how many times over it was spent. */
export function formatBudget(left: number): string {
  if (left >= 0) return formatShare(left);
  return `spent ${formatNumber(1 - left)} times`;
}

/** A share as a percentage. */
export function formatShare(share: number): string {
  return `${Number((share * 100).toFixed(2))}%`;
}

/** A burn rate; a window without samples has none. */
export function formatRate(window: WindowBurn): string {
  if (window.covered === 0) return 'no samples';
  if (window.answers === 0) return 'no answers';
  return formatNumber(window.rate);
}

/** Small numbers with their decimals, large ones without. */
function formatNumber(value: number): string {
  if (!Number.isFinite(value)) return 'infinitely many';
  return Number(value.toFixed(value < 100 ? 2 : 0)).toString();
}

/** What answers ended with, for a line of what spent the budget. */
export function describeSpending(spending: Spending): string {
  const code = resultTable.find(code => code.number === spending.code);
  const name = code === undefined ? '' : ` ${code.name}`;
  const late = spending.verdict === 'slow' ? ', later than the objective' : '';
  return `${spending.code}${name}${late}`;
}

/** The most urgent alert, or that there is none. */
export function describeAlert(burn: ServiceBurn): string {
  return burn.alerts[0] ?? 'none';
}
