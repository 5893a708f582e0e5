/** Quotas of workspaces: shares of homes against the simplest designs. */
import type {Experiment, Outcome, Row, RunOptions} from '../experiment.js';
import {playOwner, playShares, playStaticShares} from '../quotas/designs.js';
import type {DesignResult} from '../quotas/designs.js';
import {createLoad, surge, workspaceName} from '../quotas/load.js';
import type {Load} from '../quotas/load.js';

const bounds = {window: 5_000, overage: 0.1, slack: 20};
const sizes = [63, 300, 6_700];
const workspaces = 77;
const rate = 1_400;

/** Simulated milliseconds for each second of `RunOptions.seconds`. */
const modelTime = 1_000;

/**
 * Of the requests that one central bucket admits, the part refused; without the
 * workspace above its limit, of which other requests may be admitted.
 */
function refusedBelow(
  load: Load,
  central: DesignResult,
  result: DesignResult,
): number {
  const excluded = workspaceName(surge.workspace);
  let admitted = 0;
  let refused = 0;
  for (const [index, isAdmitted] of central.granted.entries()) {
    const {workspace} = load.arrivals[index]!;
    if (!isAdmitted || workspace === excluded) continue;
    admitted++;
    if (result.granted[index] !== true) refused++;
  }
  return refused / admitted;
}

/** The most that any workspace was granted in a window, as part of its bound. */
function worstWindow(load: Load, result: DesignResult): number {
  const times = new Map<string, number[]>();
  for (const [index, {at, workspace}] of load.arrivals.entries()) {
    if (result.granted[index] !== true) continue;
    const list = times.get(workspace) ?? [];
    list.push(at);
    times.set(workspace, list);
  }
  let worst = 0;
  for (const [workspace, list] of times) {
    const quota = load.quotas[workspace]!;
    const allowed = (quota.rate * bounds.window) / 1000 + quota.burst;
    const bound = allowed * (1 + bounds.overage) + bounds.slack;
    let end = 0;
    for (const [index, start] of list.entries()) {
      while (end < list.length && list[end]! < start + bounds.window) end++;
      worst = Math.max(worst, (end - index) / bound);
    }
  }
  return worst;
}

function rowsOf(
  name: string,
  load: Load,
  central: DesignResult,
  result: DesignResult,
  nodeSeconds: number,
): Row[] {
  const waited = result.waited.filter(Boolean).length;
  return [
    {
      figure: `refused below the limit: ${name}`,
      unit: 'share',
      value: refusedBelow(load, central, result),
    },
    {
      figure: `most in a window: ${name}`,
      unit: 'of the bound',
      value: worstWindow(load, result),
    },
    {
      figure: `waited for a message: ${name}`,
      unit: 'share',
      value: waited / result.waited.length,
    },
    {
      figure: `messages: ${name}`,
      unit: 'per node and second',
      value: result.messages / nodeSeconds,
    },
    {
      figure: `bytes: ${name}`,
      unit: 'per node and second',
      value: result.bytes / nodeSeconds,
    },
  ];
}

async function run({seed, seconds}: RunOptions): Promise<Outcome> {
  const duration = seconds * modelTime;
  const rows: Row[] = [];
  for (const nodes of sizes) {
    const load = createLoad({seed, nodes, workspaces, rate, duration});
    const central = playOwner(load);
    const nodeSeconds = (nodes * duration) / 1000;
    const add = (name: string, result: DesignResult) =>
      rows.push(
        ...rowsOf(
          `${name}, ${nodes} nodes`,
          load,
          central,
          result,
          nodeSeconds,
        ),
      );
    add('static shares', playStaticShares(load, nodes));
    add('one owner', central);
    add('shares of homes', await playShares(load, nodes, bounds, duration));
  }
  return {
    rows,
    notes: [
      `${workspaces} workspaces, ${rate} requests a second, 0.6 of each in one of three failure domains that changes half-way, one workspace at 7 times its usual rate in the second half`,
      'simulated time; the results do not depend on the machine',
    ],
  };
}

export const experiment: Experiment = {
  name: 'quotas',
  about: 'quotas of workspaces: refused below the limit, bound, messages',
  baseline: 'static shares of nodes, and one owner asked for each request',
  seconds: 12,
  run,
};
