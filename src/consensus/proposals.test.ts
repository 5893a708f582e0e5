import test from 'ava';
import {consensusCodes} from './codes.js';
import {createProposals} from './proposals.js';

// Guards against an operator who is told that a change was accepted although
// another leader's entry took its place in the log. A former leader may apply
// that entry in the same event in which it learns of the other leader.
test('a change is not answered with the result of another entry at its index', async t => {
  const proposals = createProposals();
  const lost = proposals.add(Buffer.from('lost'));
  const kept = proposals.add(Buffer.from('kept'));
  const [first, second] = proposals.take();
  proposals.onProposed({kind: 'proposed', id: first!.id, index: 7, term: 2});
  proposals.onProposed({kind: 'proposed', id: second!.id, index: 8, term: 2});
  proposals.onApplied({index: 7, term: 3}, Buffer.from('of another leader'));
  proposals.onApplied({index: 8, term: 2}, Buffer.from('its own'));
  const outcome = await lost;
  t.true(!outcome.ok && outcome.code === consensusCodes.outcomeUnknown);
  t.true((await kept).ok);
});
