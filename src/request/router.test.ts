import test from 'ava';
import {configurationOf, policyOf, routeOf} from './fakes/configurations.js';
import {createRouter, isMatch} from './router.js';

const services = [{name: 'stock-desk', slowStart: 0}];
const policies = [policyOf()];

function find(
  routes: ReturnType<typeof routeOf>[],
  method: string,
  path: string,
): string {
  const router = createRouter(configurationOf({services, policies, routes}));
  const found = router.match(method, path);
  return isMatch(found) ? found.route.name : found.name;
}

test('the longest prefix wins, then the method’s own route', t => {
  const routes = [
    routeOf({name: 'all', prefix: '/'}),
    routeOf({name: 'stock', prefix: '/stock'}),
    routeOf({name: 'writes', prefix: '/stock', methods: ['PUT']}),
  ];
  t.is(find(routes, 'GET', '/stock/7?x=/bookings'), 'stock');
  t.is(find(routes, 'PUT', '/stock/7'), 'writes');
  t.is(find(routes, 'GET', '/bookings'), 'all');
});

test('a prefix ends at the end of a segment', t => {
  const routes = [routeOf({name: 'stock', prefix: '/stock'})];
  t.is(find(routes, 'GET', '/stock'), 'stock');
  t.is(find(routes, 'GET', '/stockpile'), 'no-route');
});

test('a path whose routes take other methods says so', t => {
  const routes = [routeOf({methods: ['GET']})];
  t.is(find(routes, 'DELETE', '/stock/7'), 'method-not-allowed');
});

test('a route without its service or policy takes nothing', t => {
  const routes = [routeOf({service: 'gone'}), routeOf({policy: 'gone'})];
  t.is(find(routes, 'GET', '/stock/7'), 'no-route');
});
