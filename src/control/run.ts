/** The control role: one member of the group that keeps the configuration. */
import process from 'node:process';
import {createConvergence} from '../admin/convergence.js';
import {createAdmin} from '../admin/create-admin.js';
import {watchControl} from '../admin/watch-control.js';
import {createConfigurationMachine} from '../configuration/create-configuration-machine.js';
import {createConsensus} from '../consensus/create-consensus.js';
import type {Consensus, Member} from '../consensus/consensus.js';
import {createFreshness} from '../distribution/freshness.js';
import {createSectionSource} from '../distribution/section-source.js';
import {createFolderDisk} from '../disk/folder-disk.js';
import type {RunningRole} from '../cli/loaders.js';
import type {Hello} from '../fleet/messages.js';
import {createAppointer} from '../keepers/appointer.js';
import {createMeteredNetwork} from '../metrics/metered-network.js';
import {createOperatorServer} from '../operator/create-operator-server.js';
import {createMemberDirectory} from './member-directory.js';
import {createProcess} from '../process/process.js';
import {createDistributionHost} from '../relay/distribution-host.js';
import type {ControlSettings} from '../settings/schema.js';

/** Starts a control process; resolves once operators and nodes reach it. */
export async function runControl(
  settings: ControlSettings,
): Promise<RunningRole> {
  const base = createProcess(settings);
  const {timers, random, log} = base;
  const admin = createAdmin(settings, timers);
  const {metrics} = admin;
  const peers = createMeteredNetwork(base.network, 'peer', metrics, timers);
  const network = createMeteredNetwork(
    base.network,
    'distribution',
    metrics,
    timers,
  );
  const machine = createConfigurationMachine({limits: settings.limits});
  const members = settings.members.map(toMember);
  const consensus: Consensus = await createConsensus({
    self: members.find(member => member.name === settings.name)!,
    members,
    disk: await createFolderDisk(settings.dataFolder),
    machine,
    heartbeat: settings.heartbeat,
    electionTimeout: settings.electionTimeout,
    snapshotEntries: settings.snapshotEntries,
    onFailure: endProcess,
    ...base,
    network: peers,
  });

  const directory = createMemberDirectory(consensus, settings.members);
  const barrier = () => consensus.readBarrier();
  const freshness = createFreshness(barrier, timers);
  const self: Hello = {
    kind: 'control',
    name: settings.name,
    failureDomain: settings.failureDomain,
    region: settings.region,
  };
  const host = await createDistributionHost({
    self,
    address: settings.distributionAddress,
    fellows: directory.fellows,
    homes: directory.homes,
    source: createSectionSource(machine),
    barrier,
    asOf: freshness.asOf,
    batchWindow: settings.batchWindow,
    lease: settings.lease,
    network,
    timers,
    random,
    log,
  });
  directory.onChange(host.follow);
  host.follow();
  const convergence = createConvergence({
    timers,
    metrics,
    fleet: version => host.fleet.summary(version),
  });
  // Changes replayed at a start, or applied by a follower, were accepted before.
  machine.onChange(version => {
    if (consensus.status().role === 'leader') convergence.accepted(version);
  });
  const watch = watchControl({
    consensus,
    dataFolder: settings.dataFolder,
    nodes: () => host.fleet.summary().nodes,
    metrics,
    timers,
  });
  const appointer = createAppointer({
    name: settings.name,
    consensus,
    machine,
    endpoints: host.registry,
    network,
    timers,
    log,
    retention: settings.claimRetention,
  });
  const operators = await createOperatorServer({
    address: settings.operatorAddress,
    name: settings.name,
    consensus,
    machine,
    fleet: host.fleet,
    keepers: appointer,
    timers,
    limits: settings.limits,
    leaderAddress: directory.operatorAddress,
    ...(settings.operatorToken !== undefined && {
      token: settings.operatorToken,
    }),
    bodyLimit: settings.operatorBodyLimit,
    log,
  });
  const adminServer = await admin.listen({
    notReady: () => (freshness.asOf() === undefined ? ['no quorum yet'] : []),
  });
  log.info('control takes operators and nodes', {
    operators: settings.operatorAddress,
    nodes: settings.distributionAddress,
  });

  return {
    async stop() {
      await operators.close();
      convergence.stop();
      watch.cancel();
      appointer.stop();
      freshness.stop();
      await host.stop();
      await consensus.stop();
      await adminServer.close();
    },
  };
}

function toMember(member: ControlSettings['members'][number]): Member {
  return {
    name: member.name,
    address: member.peerAddress,
    failureDomain: member.failureDomain,
    operatorAddress: member.operatorAddress,
    distributionAddress: member.distributionAddress,
  };
}

/** Exit code of a control process whose disk failed. */
const diskFailureExit = 3;

/**
 * A disk that failed a sync may hold anything. Going on would answer with what
 * is not durable, so the process ends at once; operators whose answers are
 * lost by it resend, and the next start reads what is on disk.
 */
function endProcess(): void {
  process.exit(diskFailureExit);
}
