import type {IncomingMessage} from 'node:http';
import test from 'ava';
import type {Configuration} from '../configuration/configuration.js';
import {createRandom} from '../random/random.js';
import {requestCodes} from './messages/codes.js';
import {
  emptyConfiguration,
  stockConfiguration,
} from './fakes/configurations.js';
import {createRouteFinder} from './route-finder.js';

function find(configuration: Configuration | undefined, path: string) {
  const finder = createRouteFinder({
    configuration: () => configuration,
    random: createRandom(1),
  });
  const rawHeaders = ['host', 'stock.example'];
  const headers = {host: 'stock.example'};
  const request = {method: 'GET', url: path, headers, rawHeaders};
  const found = finder(request as unknown as IncomingMessage);
  return 'refused' in found ? found.refused.code : found.match.route.name;
}

test('a path finds its route', t => {
  t.is(find(stockConfiguration, '/stock/7'), 'stock');
});

test('before the first configuration no caller hears that its route does not exist', t => {
  // The system has just started and a quorum confirms that nothing was accepted
  // yet. A caller that hears 404 gives its request up for good, though the
  // operator's first configuration, a second later, has the route.
  t.is(find(emptyConfiguration, '/stock/7'), requestCodes.noConfiguration);
  t.is(find(undefined, '/stock/7'), requestCodes.noConfiguration);
});

test('a path without a route is told so once a configuration is there', t => {
  t.is(find(stockConfiguration, '/nowhere'), requestCodes.noRoute);
});
