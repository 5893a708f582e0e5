/**
 * Counts what a small request does between caller and upstream. Processor time is
 * not tested, as it depends on the machine; these counts are most of it.
 */
import {Socket} from 'node:net';
import test from 'ava';
import {Agent, request} from 'undici';
import {createRecordedLog} from '../log/fakes/recorded-log.js';
import {createMesh} from './fakes/mesh.js';
import type {Mesh} from './fakes/mesh.js';

/** Writes to sockets and timers of a process, counted from the creation. */
interface Counts {
  writes: number;
  timers: number;
}

/** Counts writes of all sockets; each is one system call. */
function countWrites(counts: Counts): () => void {
  const {prototype} = Socket as unknown as {prototype: SocketInternals};
  const original = prototype._writeGeneric;
  prototype._writeGeneric = function (...parameters) {
    counts.writes++;
    original.apply(this, parameters);
  };
  return () => void (prototype._writeGeneric = original);
}

interface SocketInternals {
  _writeGeneric: (...parameters: unknown[]) => void;
}

function countTimers({timers}: Mesh, counts: Counts): void {
  const after = timers.after.bind(timers);
  timers.after = (delay, task) => {
    counts.timers++;
    return after(delay, task);
  };
}

const warmRequests = 3;
const measuredRequests = 20;

/** The counts of one request; connections and links are open before. */
async function countRequest(sameNode: boolean) {
  const {log, lines} = createRecordedLog();
  const mesh = await createMesh({
    sameNode,
    upstreams: [(_req, res) => res.end('part')],
    entry: {log},
    gate: {log},
  });
  const dispatcher = new Agent();
  const send = async () => {
    const answer = await request(`${mesh.url}/stock/7`, {dispatcher});
    await answer.body.text();
  };
  for (let sent = 0; sent < warmRequests; sent++) await send();
  const counts: Counts = {writes: 0, timers: 0};
  const stopCounting = countWrites(counts);
  countTimers(mesh, counts);
  const linesBefore = lines.length;
  for (let sent = 0; sent < measuredRequests; sent++) await send();
  stopCounting();
  await dispatcher.close();
  await mesh.close();
  return {
    writes: counts.writes / measuredRequests,
    timers: counts.timers / measuredRequests,
    lines: (lines.length - linesBefore) / measuredRequests,
  };
}

// The caller and the upstream write once each, and so does each hop both ways.
test.serial('a request to another node takes one write a hop', async t => {
  const counts = await countRequest(false);
  t.log(counts);
  t.is(counts.writes, 6);
  t.true(counts.timers <= 3);
  t.is(counts.lines, 0);
});

test.serial('a request to its own node takes one write a hop', async t => {
  const counts = await countRequest(true);
  t.log(counts);
  t.is(counts.writes, 4);
  t.true(counts.timers <= 2);
  t.is(counts.lines, 0);
});
