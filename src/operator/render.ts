import type {
  Drain,
  Item,
  Policy,
  Quarantine,
  Rollout,
  Route,
  Service,
  Workspace,
} from '../configuration/configuration.js';
import {shortDigest} from '../configuration/short-digest.js';
import type {Member} from '../consensus/consensus.js';
import type {FleetSummary} from '../fleet/summary.js';
import type {
  ControlView,
  History,
  InForceStatus,
  Items,
  Reply,
} from './messages.js';
import {renderTable} from './table.js';

/** Renders replies as text for people; programs use `--json` instead. */

/** Renders items of one kind at one version. */
export function renderItems({version, items}: Items): string {
  const table = items.length === 0 ? 'none\n' : renderItemTable(items);
  return `${table}version ${version}\n`;
}

function renderItemTable(items: readonly Item[]): string {
  const values = items.map(({value}) => value);
  switch (items[0]!.kind) {
    case 'service':
      return renderServices(values as Service[]);
    case 'route':
      return renderRoutes(values as Route[]);
    case 'policy':
      return renderPolicies(values as Policy[]);
    case 'workspace':
      return renderWorkspaces(values as Workspace[]);
    case 'drain':
      return renderDrains(values as Drain[]);
    case 'quarantine':
      return renderQuarantines(values as Quarantine[]);
    case 'rollout':
      return renderRollouts(values as Rollout[]);
  }
}

function renderServices(services: readonly Service[]): string {
  return renderTable(
    ['service', 'slow-start', 'keepers'],
    services.map(({name, slowStart, keepers}) => [
      name,
      formatDuration(slowStart),
      keepers?.members.map(({instance}) => instance).join(' ') ?? '-',
    ]),
  );
}

function renderRoutes(routes: readonly Route[]): string {
  const isAnyKeyed = routes.some(({access}) => access === 'keyed');
  const header = ['route', 'prefix', 'methods', 'to', 'under'];
  return renderTable(
    isAnyKeyed ? [...header, 'access'] : header,
    routes.map(route => [
      route.name,
      route.prefix,
      route.methods.join(',') || 'all',
      route.service,
      route.policy,
      ...(isAnyKeyed ? [route.access ?? 'public'] : []),
    ]),
  );
}

function renderPolicies(policies: readonly Policy[]): string {
  return renderTable(
    [
      'policy',
      'priority',
      'deadline',
      'attempts',
      'repeat',
      'body',
      'objective',
    ],
    policies.map(policy => [
      policy.name,
      policy.priority,
      formatDuration(policy.deadline),
      `${policy.attempts}`,
      policy.repeatability,
      formatSize(policy.bodyLimit),
      `${formatShare(policy.objective.target)} within ` +
        formatDuration(policy.objective.latency),
    ]),
  );
}

function renderWorkspaces(workspaces: readonly Workspace[]): string {
  return renderTable(
    ['workspace', 'keys', 'priority', 'rate', 'burst'],
    workspaces.map(({name, keys, priority, quota}) => [
      name,
      formatKeys(keys),
      priority ?? '-',
      quota === undefined ? '-' : `${quota.rate}/s`,
      quota === undefined ? '-' : `${quota.burst}`,
    ]),
  );
}

/** Maximum number of keys that are listed for a workspace. */
const maxListedKeys = 3;

/** Log lines of refused keys show the same start of a key's digest. */
function formatKeys(keys: readonly string[]): string {
  if (keys.length === 0) return '-';
  const listed = keys.slice(0, maxListedKeys).map(shortDigest).join(' ');
  const more = keys.length - maxListedKeys;
  return more > 0 ? `${listed} and ${more} more` : listed;
}

function renderRollouts(rollouts: readonly Rollout[]): string {
  return renderTable(
    ['service', 'stable', 'target', 'phase', 'share', 'elapsed', 'reason'],
    rollouts.map(rollout => [
      rollout.name,
      rollout.stable.join(' ') || 'all others',
      rollout.order?.target ?? '-',
      rollout.phase,
      formatShare(Number(rollout.share.toFixed(4))),
      formatDuration(Math.round(rollout.elapsed)),
      rollout.reason,
    ]),
  );
}

function renderDrains(drains: readonly Drain[]): string {
  return renderTable(
    ['instance', 'of'],
    drains.map(({name, service}) => [name, service]),
  );
}

function renderQuarantines(quarantines: readonly Quarantine[]): string {
  return renderTable(
    ['quarantine', 'state', 'since', 'of', 'request', 'trials', 'ended'],
    quarantines.map(quarantine => [
      quarantine.name,
      quarantine.state,
      new Date(quarantine.since).toISOString(),
      quarantine.service,
      quarantine.request,
      `${quarantine.trials}`,
      quarantine.ended.join(' '),
    ]),
  );
}

/** Renders the most recent changes. */
export function renderHistory({version, changes}: History): string {
  const table = renderTable(
    ['version', 'time', 'command', 'edits'],
    changes.map(change => [
      `${change.version}`,
      new Date(change.time).toISOString(),
      `${change.operator}/${change.sequence}`,
      change.edits.join('; '),
    ]),
  );
  return `${table}version ${version}\n`;
}

/** Renders the versions in force across the fleet. */
export function renderInForce({confirmed, summary}: InForceStatus): string {
  const note = confirmed
    ? ''
    : 'no majority answered: a newer version may have been accepted\n';
  return `${renderFleet(summary)}${note}`;
}

/** Renders the progress of one version across the fleet. */
export function renderFleet(fleet: FleetSummary): string {
  const domains = renderTable(
    ['failure domain', 'nodes', 'in force', 'behind', 'unknown'],
    fleet.domains.map(domain => [
      domain.failureDomain,
      `${domain.nodes}`,
      `${domain.inForce}`,
      `${domain.behind}`,
      `${domain.unknown}`,
    ]),
  );
  const {version, inForce, nodes, laggards} = fleet;
  const least = fleet.least ?? '-';
  const total =
    `version ${version} is in force on ${inForce} of ${nodes} nodes; ` +
    `least version ${least}\n`;
  const names = laggards.length > 0 ? `behind: ${laggards.join(' ')}\n` : '';
  const settleNote = fleet.isSettled
    ? ''
    : 'this control process started recently and may not know all nodes yet\n';
  return `${domains}${total}${names}${renderStaleHomes(fleet)}${settleNote}`;
}

function renderStaleHomes({homes}: FleetSummary): string {
  const stale = homes.filter(({isStale}) => isStale);
  if (stale.length === 0) return '';
  return `no current report from: ${stale.map(({home}) => home).join(' ')}\n`;
}

/** Renders the control group, with one line for each process that answered. */
export function renderControl(views: readonly Reply<ControlView>[]): string {
  const answered = views.flatMap(view => (view.ok ? [view.value] : []));
  const refusals = views.flatMap(view => (view.ok ? [] : [view.refusal]));
  const processes = renderTable(
    [
      'control',
      'role',
      'term',
      'leader',
      'commit',
      'last',
      'snapshot',
      'version',
      'digest',
    ],
    answered.map(view => [
      view.name,
      view.role,
      `${view.term}`,
      view.leader ?? '-',
      `${view.commitIndex}`,
      `${view.lastIndex}`,
      `${view.snapshotIndex}`,
      `${view.version}`,
      view.digest.slice(0, 12),
    ]),
  );
  const members = renderTable(
    ['member', 'address', 'failure domain', 'state'],
    newestMemberRows(answered),
  );
  const notes = refusals.map(({message}) => `${message}\n`).join('');
  return `${processes}\n${members}${notes}`;
}

/** Returns the members as seen by the process with the highest commit index. */
function newestMemberRows(views: readonly ControlView[]): string[][] {
  const [first] = [...views].sort(
    (left, right) => right.commitIndex - left.commitIndex,
  );
  if (first === undefined) return [];
  const row = (state: string) => (member: Member) => [
    member.name,
    member.address,
    member.failureDomain,
    state,
  ];
  return [
    ...first.members.map(row('voter')),
    ...first.learners.map(row('learner')),
  ];
}

function formatDuration(milliseconds: number): string {
  const isSeconds = milliseconds >= 1000 && milliseconds % 1000 === 0;
  return isSeconds ? `${milliseconds / 1000}s` : `${milliseconds}ms`;
}

function formatSize(bytes: number): string {
  const units = ['GiB', 'MiB', 'KiB'];
  const sizes = [1024 ** 3, 1024 ** 2, 1024];
  const index = sizes.findIndex(size => bytes >= size && bytes % size === 0);
  return index === -1 ? `${bytes}B` : `${bytes / sizes[index]!}${units[index]}`;
}

function formatShare(share: number): string {
  return `${Number((share * 100).toFixed(6))}%`;
}
