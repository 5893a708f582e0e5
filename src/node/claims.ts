/** A node's two parts in claims: it asks keepers, and may be one. */
import {createClaims} from '../claims/create-claims.js';
import type {KeeperClaims} from '../claims/create-claims.js';
import {createKeeper} from '../claims/keeper.js';
import type {ClaimKeeper} from '../claims/keeper.js';
import type {
  Configuration,
  KeeperAssignment,
} from '../configuration/configuration.js';
import type {KeeperOffer} from '../endpoints/messages.js';
import type {Metrics} from '../metrics/metrics.js';
import type {Process} from '../process/process.js';
import type {NodeSettings} from '../settings/schema.js';

/** Settings bits and process parts. */
export interface NodeClaimsOptions {
  readonly settings: NodeSettings;
  readonly process: Process;
  readonly metrics: Metrics;
  /** The configuration in force, undefined until one is proved fresh. */
  readonly configuration: () => Configuration | undefined;
}

/** Claims of one node. */
export interface NodeClaims {
  readonly claims: KeeperClaims;
  /** What it announces of its keeper; undefined when it has none. */
  readonly offer: KeeperOffer | undefined;
  /** Takes the keeper sets of a new configuration. */
  updateAssignments(configuration: Configuration): void;
  /** Hands its keeper's claims over before a planned stop, within a limit. */
  handOver(limit: number): Promise<void>;
  stop(): Promise<void>;
}

/** Starts them; the keeper listens when it resolves. */
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
  const reporting = process.timers.every(reportEvery, () => {
    if (keeper === undefined) return;
    metrics.claims({held: keeper.size, limit: settings.claimLimit});
  });
  const seen = new Map<string, KeeperAssignment>();

  return {
    claims,
    offer,
    updateAssignments({services}) {
      for (const [name, {keepers}] of services) {
        if (keepers === undefined || seen.get(name) === keepers) continue;
        seen.set(name, keepers);
        keeper?.assign(name, keepers);
      }
    },
    async handOver(limit) {
      await keeper?.leave(Math.min(limit, leaveLimit));
    },
    async stop() {
      reporting.cancel();
      claims.stop();
      await keeper?.stop();
    },
  };
}

function offerOf(
  settings: NodeSettings,
  incarnation: number,
): KeeperOffer | undefined {
  if (settings.keeperAddress === undefined) return undefined;
  return {address: settings.keeperAddress, incarnation};
}

async function startKeeper(
  {settings, process}: NodeClaimsOptions,
  offer: KeeperOffer | undefined,
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
      watchers: claimWatchers,
    },
  });
}

/** Milliseconds between two reports of claims held. */
const reportEvery = 1000;

/** Milliseconds for which a planned stop waits for other keepers. */
const leaveLimit = 5000;

/** Gates that may wait for the outcome of one claim. */
const claimWatchers = 16;
