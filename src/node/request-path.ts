/** The listeners of a node: one for its callers, one for the entries of other nodes. */
import {reportAttempt, reportOutcome} from '../admin/report-outcome.js';
import type {Configuration} from '../configuration/configuration.js';
import type {HomeConnection} from '../distribution/home-connection.js';
import type {EndpointTable} from '../endpoints/endpoint-table.js';
import type {Membership} from '../endpoints/membership.js';
import type {Metrics} from '../metrics/metrics.js';
import type {LoopDelay} from '../time/loop-delay.js';
import type {Process} from '../process/process.js';
import {createEntry} from '../request/entry.js';
import type {Entry} from '../request/entry.js';
import type {Gate} from '../request/gate.js';
import type {Quotas} from '../quotas/quotas.js';
import type {CallKinds} from '../request/decisions/call-kinds.js';
import type {StopLimit} from '../request/decisions/stop-limit.js';
import type {OutcomeRecorder} from '../rollouts/recorder.js';
import {createGateServer} from '../request/transport/gate-server.js';
import type {GateServer} from '../request/transport/gate-server.js';
import {defaults} from '../settings/defaults.js';
import type {NodeSettings} from '../settings/schema.js';
import {elapsedSince} from '../time/moment.js';
import type {Timers} from '../time/timers.js';
import type {KeyState} from '../workspaces/authenticator.js';
import {areKeysExpired} from '../workspaces/revocation.js';
import type {LinkShare} from './link-share.js';
import type {NodeParts} from './parts.js';

/** Options of `openRequestPath`. */
export interface RequestPathOptions {
  readonly settings: NodeSettings;
  readonly parts: NodeParts;
  readonly process: Pick<Process, 'timers' | 'random' | 'log'>;
  readonly loopDelay: LoopDelay;
  readonly metrics: Metrics;
  /** The configuration in force; undefined until one is proved to be fresh. */
  readonly configuration: () => Configuration | undefined;
  readonly home: HomeConnection;
  readonly table: EndpointTable;
  readonly membership: Membership;
  readonly gate: Gate;
  readonly linkShare: LinkShare | undefined;
  readonly outcomes: OutcomeRecorder;
  readonly quotas: Quotas;
  readonly stopLimit: StopLimit;
  readonly kinds: CallKinds;
  /** Called with each request that was answered after an earlier attempt lost its upstream. */
  readonly onCleared: (request: string) => void;
}

/** The open listeners. */
export interface RequestPath {
  readonly entry: Entry;
  readonly gateServer: GateServer;
}

/** Opens the listeners, the gate's first, since entries may connect to it at once. */
export async function openRequestPath(
  options: RequestPathOptions,
): Promise<RequestPath> {
  const {settings, parts, metrics, configuration} = options;
  const {home, table, membership, gate} = options;
  const {timers, random, log} = options.process;
  const {uploadPacer: pace, egressQueue} = options.linkShare ?? {};
  const gateServer = createGateServer({
    loopDelay: options.loopDelay,
    uploadPacer: pace,
    egressQueue,
    address: settings.gateAddress,
    gate,
    tellsEstimates: settings.crossings === 'dear',
    headerLimit: settings.headerLimit,
    bodyLimit: settings.bodyLimit,
    bodyIdle: defaults.bodyIdle,
    ...(parts.callers !== undefined && {foreign: parts.callers.foreign}),
    timers,
    log,
  });
  const entry = createEntry({
    uploadPacer: settings.callersOnVm ? undefined : pace,
    egressQueue,
    name: settings.name,
    failureDomain: settings.failureDomain,
    region: settings.region,
    address: settings.callerAddress,
    configuration,
    isConfirmed: () => isConfirmed(home, timers, settings.homeFreshness),
    keyState: () => keyState(home, timers, settings),
    endpoints: table,
    gate,
    headerLimit: settings.headerLimit,
    bodyLimit: settings.bodyLimit,
    bodyIdle: defaults.bodyIdle,
    gracePeriod: settings.stopGrace,
    callerService: settings.callerService,
    ...(parts.callers !== undefined && {protocol: parts.callers}),
    loopDelay: options.loopDelay,
    timers,
    random,
    log,
    instancePool: {
      crossings: settings.crossings,
      retryBudget: settings.retryBudget,
      onAttempt: attempt => reportAttempt(metrics, attempt),
      onUnreachable: ({instance, incarnation}) =>
        membership.reportUnreachable(instance, incarnation),
    },
    outcomes: options.outcomes,
    quotas: options.quotas,
    stopLimit: options.stopLimit,
    kinds: options.kinds,
    onCleared: options.onCleared,
    onKeyRefused: reason => metrics.keyRefused(reason),
    onOutcome: outcome => reportOutcome(metrics, configuration(), outcome),
  });
  await gateServer.listen();
  await entry.listen();
  return {entry, gateServer};
}

/** How far the keys in force are known to be the newest. */
export function keyState(
  home: Pick<HomeConnection, 'asOf' | 'confirmedAt'>,
  timers: Timers,
  settings: Pick<NodeSettings, 'keys' | 'homeFreshness'>,
): KeyState {
  const confirmedAt = home.confirmedAt();
  const age = confirmedAt && elapsedSince(confirmedAt, timers);
  if (areKeysExpired(age, settings.keys.revocation)) return 'expired';
  const isRecent = isConfirmed(home, timers, settings.homeFreshness);
  return isRecent ? 'confirmed' : 'unconfirmed';
}

/** Whether a quorum confirmed within `freshness` milliseconds that no newer version exists. */
export function isConfirmed(
  home: Pick<HomeConnection, 'asOf'>,
  timers: Timers,
  freshness: number,
): boolean {
  const asOf = home.asOf();
  return asOf !== undefined && timers.now() - asOf <= freshness;
}
