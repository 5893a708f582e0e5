// The parts of undici that foxbarrow uses, for the bundle. The entry module of
// the package also loads fetch, cache, WebSocket and mocks, which would take
// memory in every node. The exported names are those of that entry module.
const Agent = require('undici/lib/dispatcher/agent.js');
const Client = require('undici/lib/dispatcher/client.js');
const buildConnector = require('undici/lib/core/connect.js');
const Dispatcher = require('undici/lib/dispatcher/dispatcher.js');
const api = require('undici/lib/api/index.js');
const {URL} = require('node:url');
const {getGlobalDispatcher} = require('undici/lib/global.js');

Object.assign(Dispatcher.prototype, api);

function request(url, options = {}) {
  const {dispatcher = getGlobalDispatcher(), ...rest} = options;
  const {origin, pathname, search} = new URL(url);
  const method = rest.method ?? 'GET';
  return dispatcher.request({...rest, origin, path: pathname + search, method});
}

module.exports = {Agent, Client, buildConnector, request};
