/** The relay role: a subscriber of control that serves as a home of nodes. */
import {createAdmin} from '../admin/create-admin.js';
import {createDepartureClient} from '../departures/departure-client.js';
import {createHomeConnection} from '../distribution/home-connection.js';
import {createSubscriber} from '../distribution/subscriber.js';
import type {RunningRole} from '../process/role.js';
import type {Hello} from '../fleet/messages.js';
import {createMeteredNetwork} from '../metrics/metered-network.js';
import type {RelaySettings} from '../settings/schema.js';
import {createProcess} from '../process/process.js';
import {createDistributionHost} from './distribution-host.js';

/** Starts a relay; resolves once nodes can reach it. */
export async function runRelay(settings: RelaySettings): Promise<RunningRole> {
  const base = createProcess(settings);
  const {timers, random, log} = base;
  const admin = createAdmin(settings, timers);
  const network = createMeteredNetwork(
    base.network,
    'distribution',
    admin.metrics,
    timers,
  );
  const self: Hello = {
    kind: 'relay',
    name: settings.name,
    failureDomain: settings.failureDomain,
    region: settings.region,
  };
  const home = createHomeConnection({
    network,
    homes: settings.sources,
    self,
    timers,
    random,
    log,
  });
  const subscriber = createSubscriber({home, timers, random, log});
  const departures = createDepartureClient({timers, random, log});
  home.onChannels(departures.attach);
  const host = await createDistributionHost({
    self,
    address: settings.distributionAddress,
    peers: () => settings.relays,
    source: subscriber.sections,
    barrier: subscriber.barrier,
    departures,
    asOf: home.asOf,
    confirmedAt: home.confirmedAt,
    batchWindow: settings.batchWindow,
    lease: settings.lease,
    quotas: settings.quotas,
    network,
    timers,
    random,
    log,
  });
  home.onChannels(host.attach);
  home.onReport(host.fleet.receiveReport);
  subscriber.onSwitch(host.quotas.update);
  subscriber.onSwitch(({version}) => admin.metrics.inForce(version));
  const adminServer = await admin.listen({
    notReady: () =>
      subscriber.current() === undefined ? ['no configuration in force'] : [],
  });
  log.info('relay accepts nodes', {address: settings.distributionAddress});

  return {
    async stop() {
      home.stop();
      subscriber.stop();
      await host.stop();
      await adminServer.close();
    },
  };
}
