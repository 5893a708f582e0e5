import test from 'ava';
import type {Connections, Handler} from './connections.js';
import {send} from './sending.js';
import type {Receiver} from './sending.js';

function stage() {
  let handler: Handler | undefined;
  const heard: string[] = [];
  const aborted: string[] = [];
  const connections: Connections = {
    busy: 0,
    size: 1,
    dispatch: (_request, given) => {
      handler = given;
      return {halfClose: () => aborted.push('half-closed')};
    },
    prune: () => {},
    close: async () => {},
  };
  const receiver: Receiver = {
    began: () => heard.push('began'),
    interim: status => heard.push(`interim ${status}`),
    head: status => heard.push(`head ${status}`),
    data: () => true,
    end: () => heard.push('end'),
    failed: (error, began) => heard.push(`${error.message}, began: ${began}`),
  };
  const sending = send(
    connections,
    {method: 'POST', path: '/bookings', headers: [], body: {kind: 'none'}},
    receiver,
  )!;
  const start = () =>
    handler!.onConnect(reason => {
      aborted.push(reason!.message);
      handler!.onError(reason!);
    });
  return {handler: handler!, heard, aborted, sending, start};
}

test('work cancelled before its connection is open is never written', t => {
  const {heard, aborted, sending, start} = stage();
  sending.cancel(new Error('time is up'));
  start();
  t.deepEqual(aborted, ['time is up']);
  t.deepEqual(heard, ['time is up, began: false']);
});

test('a client that starts a request again after a reset is stopped', t => {
  // The HTTP client may take a request up again on a new connection when the
  // old one was reset by its own doing. Let through, a booking is sent twice.
  const {heard, aborted, start} = stage();
  start();
  start();
  t.deepEqual(aborted, ['a second start']);
  t.deepEqual(heard, ['began', 'a second start, began: true']);
});

test('an interim answer is told apart, and an error after the end is nothing', t => {
  const {handler, heard, start} = stage();
  start();
  handler.onHeaders(102, [], () => {}, 'Processing');
  handler.onHeaders(200, [], () => {}, 'OK');
  handler.onComplete();
  handler.onError(new Error('late'));
  t.deepEqual(heard, ['began', 'interim 102', 'head 200', 'end']);
});
