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

test('before the first configuration no request is refused for a missing route', t => {
  // The system has just started, and a quorum confirms that no configuration
  // was accepted yet. A caller that receives 404 would not retry, although the
  // operator's first configuration contains the route a second later.
  t.is(find(emptyConfiguration, '/stock/7'), requestCodes.noConfiguration);
  t.is(find(undefined, '/stock/7'), requestCodes.noConfiguration);
});

test('a path without a route is refused with no-route once a configuration exists', t => {
  t.is(find(stockConfiguration, '/nowhere'), requestCodes.noRoute);
});
