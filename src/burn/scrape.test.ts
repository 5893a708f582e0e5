import test from 'ava';
import {Registry} from 'prom-client';
import {createAdminServer} from '../admin/admin-server.js';
import {createMetrics} from '../admin/metrics.js';
import {commonCodes} from '../result/codes.js';
import {scrapeNodes} from './scrape.js';

test("a node's counts are read from its admin listener, and an unreachable node is listed", async t => {
  const registry = new Registry();
  const metrics = createMetrics({registry});
  const server = await createAdminServer({
    address: '127.0.0.1:0',
    registry,
    health: {notReady: () => []},
    wall: () => 77,
  });
  const request = {
    service: 'stock-desk',
    policy: 'lookups',
    code: commonCodes.ok,
    status: 200,
    whole: true,
    duration: 3,
    objective: 50,
  };
  metrics.answered({...request, route: 'stock'});
  metrics.answered({...request, route: 'parts'});
  metrics.answered({...request, route: 'parts', duration: 51});

  const unreachable = '127.0.0.1:1';
  const round = await scrapeNodes([server.address, unreachable]);
  t.deepEqual(round.unreached, [unreachable]);
  const base = {service: 'stock-desk', policy: 'lookups', code: 1000};
  t.deepEqual(round.scrapes, [
    {
      node: server.address,
      started: 77,
      counts: [
        {...base, verdict: 'good', count: 2},
        {...base, verdict: 'slow', count: 1},
      ],
    },
  ]);
  await server.close();
});
