/** The node role: the proxy beside an upstream. */
import type {RunningRole} from '../cli/loaders.js';
import {createAdmin} from '../admin/create-admin.js';
import {reportLoad} from '../admin/report-load.js';
import {reportOutcome} from '../admin/report-outcome.js';
import {createHome} from '../distribution/home.js';
import {createSubscriber} from '../distribution/subscriber.js';
import type {Subscriber} from '../distribution/subscriber.js';
import {createAnnounceServer} from '../endpoints/announce-server.js';
import type {AnnounceServer} from '../endpoints/announce-server.js';
import {createAnnouncer} from '../endpoints/announcer.js';
import type {Announcer} from '../endpoints/announcer.js';
import {createEndpointTable} from '../endpoints/endpoint-table.js';
import {createHealth, createProbe} from '../endpoints/health.js';
import type {Health} from '../endpoints/health.js';
import {createMembership} from '../endpoints/membership.js';
import type {Membership} from '../endpoints/membership.js';
import type {Hello} from '../fleet/messages.js';
import {createMeteredNetwork} from '../metrics/metered-network.js';
import {createProcess} from '../process/process.js';
import type {Process} from '../process/process.js';
import {createEntry} from '../request/entry.js';
import {createGate} from '../request/gate.js';
import {createGateServer} from '../request/gate-server.js';
import {defaults} from '../settings/defaults.js';
import type {NodeSettings} from '../settings/schema.js';
import {createNodeClaims} from './claims.js';
import {createUpstreamGate} from './upstream-gate.js';

/** Starts a node; resolves once callers and other nodes reach it. */
export async function runNode(settings: NodeSettings): Promise<RunningRole> {
  const process = createProcess(settings);
  const {timers, random, log} = process;
  const admin = createAdmin(settings, timers);
  const {metrics} = admin;
  const network = createMeteredNetwork(
    process.network,
    'distribution',
    metrics,
    timers,
  );
  const self: Hello = {
    kind: 'node',
    name: settings.name,
    failureDomain: settings.failureDomain,
    region: settings.region,
  };
  const services = settings.calls ?? 'all';

  const home = createHome({
    network,
    homes: settings.homes,
    self,
    timers,
    random,
    log,
  });
  const subscriber = createSubscriber({home, services, timers, random, log});
  const configuration = () => subscriber.current();
  const claims = await createNodeClaims({
    settings,
    metrics,
    process: {
      ...process,
      network: createMeteredNetwork(process.network, 'claims', metrics, timers),
    },
    configuration,
  });
  subscriber.onSwitch(claims.review);

  const announcer = createAnnouncer({
    name: settings.name,
    gate: settings.gateAddress,
    failureDomain: settings.failureDomain,
    region: settings.region,
    timers,
    log,
    ...(claims.offer !== undefined && {keeper: claims.offer}),
  });
  const gate = createUpstreamGate({
    announcer,
    stopDeadline: settings.stopDeadline,
    create: ({instance, service, slots, connections}, upstream) =>
      createGate({
        instance,
        service,
        upstream: upstream.address,
        slots,
        connections,
        queueLength: settings.queueLength,
        configuration,
        claims: claims.claims,
        timers,
        log,
        onUpstream: failure => health.observeConnection(failure),
      }),
  });
  subscriber.onSwitch(() => gate.review());

  const table = createEndpointTable({timers});
  const membership = createMembership({
    announcer,
    table,
    timers,
    renewal: settings.renewal,
    services,
  });
  home.onChannels(channels => membership.attach(channels));
  if (settings.calls !== undefined) {
    followOwnService(settings.calls, announcer, subscriber, membership);
  }
  subscriber.onSwitch(({drains}) => announcer.setDrains(drains));

  const gateServer = createGateServer({
    address: settings.gateAddress,
    gate,
    headerLimit: settings.headerLimit,
    bodyLimit: settings.bodyLimit,
    bodyIdle: defaults.bodyIdle,
    timers,
  });
  const entry = createEntry({
    name: settings.name,
    failureDomain: settings.failureDomain,
    address: settings.callerAddress,
    configuration,
    endpoints: table,
    gate,
    headerLimit: settings.headerLimit,
    bodyLimit: settings.bodyLimit,
    bodyIdle: defaults.bodyIdle,
    timers,
    random,
    log,
    peers: {
      onUnreachable: ({instance, incarnation}) =>
        membership.reportUnreachable(instance, incarnation),
    },
    onOutcome: outcome => reportOutcome(metrics, configuration(), outcome),
  });
  await gateServer.listen();
  await entry.listen();
  const health = createHealth({
    timers,
    announcer,
    probe: createProbe(defaults.probeTimeout),
  });
  const announceServer = await listenForUpstream(
    settings,
    process,
    announcer,
    health,
  );
  if (settings.upstream !== undefined) {
    announcer.announce({...settings.upstream, state: 'serving'});
  }
  subscriber.onSwitch(({version}) => metrics.inForce(version));
  const loads = reportLoad(gate, announcer, metrics, timers);
  const adminServer = await admin.listen({
    notReady: () =>
      subscriber.current() === undefined ? ['no configuration in force'] : [],
  });
  log.info('node takes callers', {address: settings.callerAddress});

  return {
    /** Says goodbye first, so that entries stop choosing this node's gate. */
    async stop(deadline) {
      const end = timers.now() + deadline;
      const left = () => Math.max(0, end - timers.now());
      await announceServer?.close();
      const upstream = announcer.upstream();
      if (upstream !== undefined) {
        announcer.announce({...upstream, state: 'draining'});
      }
      await Promise.all([
        entry.stop(left()),
        gate.stop(left()),
        claims.leave(left()),
      ]);
      await gateServer.stop(left());
      announcer.withdraw();
      loads.cancel();
      health.close();
      membership.close();
      subscriber.stop();
      home.stop();
      await claims.stop();
      await adminServer.close();
    },
  };
}

/**
 * A node always wants the service of its own upstream too. Without it an
 * operator's drain of that upstream would not reach the gate that must obey
 * it, and the keeper beside it would never learn of its set.
 */
function followOwnService(
  calls: readonly string[],
  announcer: Announcer,
  subscriber: Subscriber,
  membership: Membership,
): void {
  let own: string | undefined;
  announcer.onChange(({service}) => {
    if (service === own) return;
    own = service;
    const services = [...new Set([...calls, service])];
    subscriber.subscribe(services);
    membership.subscribe(services);
  });
}

/** An upstream that can't announce itself stands in the settings instead. */
async function listenForUpstream(
  settings: NodeSettings,
  {timers}: Process,
  announcer: Announcer,
  health: Health,
): Promise<AnnounceServer | undefined> {
  if (settings.announceAddress === undefined) return undefined;
  return createAnnounceServer({
    address: settings.announceAddress,
    announcer,
    timers,
    lease: defaults.lease,
    answers: () => health.verdict() !== 'dead',
  });
}
