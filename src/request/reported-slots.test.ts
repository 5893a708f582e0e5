import type {ServerResponse} from 'node:http';
import test from 'ava';
import {request} from 'undici';
import {settle} from '../time/fakes/fake-timers.js';
import {createMesh} from './fakes/mesh.js';

const slots = 2;

for (const [reported, admitted] of [
  ['0,0,4', 4],
  ['0,0,1,200', 1],
  ['0,0,200', 5],
  ['0,0,x', slots],
  [undefined, slots],
] as const) {
  test(`an upstream of ${slots} slots and 5 connections that reports ${reported}`, async t => {
    // An upstream that has lost slots resets connections beyond them, and one
    // that has gained slots stands idle at the announced ones.
    const open: ServerResponse[] = [];
    const mesh = await createMesh({
      gate: {slots, connections: 5},
      upstreams: [
        (req, res) => {
          if (reported !== undefined) {
            res.setHeader('foxbarrow-instance-load', reported);
          }
          if (req.url === '/stock/first') res.end('ok');
          else open.push(res);
        },
      ],
    });
    const first = await request(`${mesh.url}/stock/first`);
    t.is(await first.body.text(), 'ok');
    t.is(first.headers['foxbarrow-instance-load'], undefined);
    const answers = Array.from({length: 8}, async (_none, index) => {
      const answer = await request(`${mesh.url}/stock/${index}`);
      await answer.body.dump();
    });
    const {gate} = mesh.members[0]!;
    while (gate.running + gate.waiting < 8 || open.length < gate.running) {
      await settle(1);
    }
    t.is(open.length, admitted);
    t.is(gate.running, admitted);
    let answered = 0;
    while (answered < 8) {
      for (const res of open.splice(0)) {
        answered++;
        res.end('ok');
      }
      await settle(1);
    }
    await Promise.all(answers);
    await mesh.close();
  });
}
