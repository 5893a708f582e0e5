import test from 'ava';
import {createFakeMesh, upstream} from './fakes/mesh.js';
import type {FakeMesh, FakeNode} from './fakes/mesh.js';

async function connect(mesh: FakeMesh, node: FakeNode, home: string) {
  const done = node.connect(home);
  await mesh.advance(10);
  await done;
}

test('an announced instance reaches the nodes of every home', async t => {
  const mesh = createFakeMesh();
  await mesh.home('home-a');
  await mesh.home('home-b');
  const node = mesh.node('crewbook-1');
  const caller = mesh.node('caller');
  await connect(mesh, node, 'home-a');
  await connect(mesh, caller, 'home-b');
  node.announcer.announce(upstream());
  await mesh.advance(200);
  t.deepEqual(caller.view(), ['crewbook-1:serving']);

  node.announcer.announce(upstream({state: 'draining'}));
  await mesh.advance(200);
  t.deepEqual(caller.view(), ['crewbook-1:draining']);

  node.announcer.withdraw();
  await mesh.advance(200);
  t.deepEqual(caller.view(), []);
});

test('the lease of a crashed instance runs out', async t => {
  const mesh = createFakeMesh();
  await mesh.home('home-a');
  const node = mesh.node('crewbook-1');
  const caller = mesh.node('caller');
  await connect(mesh, node, 'home-a');
  await connect(mesh, caller, 'home-a');
  node.announcer.announce(upstream());
  await mesh.advance(20_000);
  t.deepEqual(caller.view(), ['crewbook-1:serving']);
  node.kill();
  await mesh.advance(7000);
  t.deepEqual(caller.view(), []);
});
