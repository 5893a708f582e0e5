/** The claims of a node: it acquires claims at keepers, and may run a keeper itself. */
import {createClaims} from '../claims/create-claims.js';
import type {KeeperClaims} from '../claims/create-claims.js';
import {createKeeper} from '../claims/keeper.js';
import type {ClaimKeeper} from '../claims/keeper.js';
import type {
  Configuration,
  KeeperAssignment,
} from '../configuration/configuration.js';
import type {KeeperEndpoint} from '../endpoints/messages.js';
import type {Metrics} from '../metrics/metrics.js';
import type {Process} from '../process/process.js';
import type {NodeSettings} from '../settings/schema.js';

/** Options of `createNodeClaims`. */
export interface NodeClaimsOptions {
  readonly settings: NodeSettings;
  readonly process: Process;
  readonly metrics: Metrics;
  /** The configuration in force; undefined until one is proved to be fresh. */
  readonly configuration: () => Configuration | undefined;
}

/** Claims of one node. */
export interface NodeClaims {
  readonly claims: KeeperClaims;
  /** The keeper that the node announces; undefined if it runs none. */
  readonly offer: KeeperEndpoint | undefined;
  /** Passes the keeper assignments of a new configuration to the node's keeper. */
  updateAssignments(configuration: Configuration): void;
  /** Hands over the keeper's claims before a planned stop, within `limit` milliseconds. */
  leave(limit: number): Promise<void>;
  stop(): Promise<void>;
}

/** Starts the claims of a node; resolves when the keeper, if there is one, listens. */
export async function createNodeClaims(
  options: NodeClaimsOptions,
): Promise<NodeClaims> {
  const {settings, process, metrics, configuration} = options;
  const offer = offerOf(settings, process.timers.wall());
  const claims = createClaims({
    ...process,
    self: `${settings.name}/${offer?.incarnation ?? process.timers.wall()}`,
    assignment: service => configuration()?.services.get(service)?.keepers,
    answerLimit: settings.claimAnswerLimit,
  });
  const keeper = await startKeeper(options, offer);
  const reports = process.timers.every(reportPeriod, () => {
    if (keeper === undefined) return;
    metrics.claims({held: keeper.size, limit: settings.claimLimit});
  });
  const assignments = new Map<string, KeeperAssignment>();

  return {
    claims,
    offer,
    updateAssignments({services}) {
      for (const [name, {keepers}] of services) {
        if (keepers === undefined || assignments.get(name) === keepers)
          continue;
        assignments.set(name, keepers);
        keeper?.assign(name, keepers);
      }
    },
    async leave(limit) {
      await keeper?.leave(Math.min(limit, maxHandoverTime));
    },
    async stop() {
      reports.cancel();
      claims.stop();
      await keeper?.stop();
    },
  };
}

function offerOf(
  settings: NodeSettings,
  incarnation: number,
): KeeperEndpoint | undefined {
  if (settings.keeperAddress === undefined) return undefined;
  return {address: settings.keeperAddress, incarnation};
}

async function startKeeper(
  {settings, process}: NodeClaimsOptions,
  offer: KeeperEndpoint | undefined,
): Promise<ClaimKeeper | undefined> {
  if (offer === undefined) return undefined;
  return createKeeper({
    ...process,
    self: {
      instance: settings.upstream?.instance ?? settings.name,
      ...offer,
      failureDomain: settings.failureDomain,
    },
    limits: {
      retention: settings.claimRetention,
      claims: settings.claimLimit,
      watchers: maxClaimWatchers,
    },
  });
}

/** Milliseconds between two reports of the number of claims held. */
const reportPeriod = 1000;

/** Maximum number of milliseconds for which a planned stop waits for other keepers. */
const maxHandoverTime = 5000;

/** Maximum number of gates that wait for the outcome of one claim. */
const maxClaimWatchers = 16;
