import test from 'ava';
import {createEvidence, since} from './evidence.js';
import type {OutcomeCounts, RolloutReport} from './messages.js';

function countsOf(parts: Partial<OutcomeCounts> = {}): OutcomeCounts {
  return {
    role: 'target',
    route: 'records',
    instance: 'new-1',
    sent: 10,
    answers: 8,
    failures: 2,
    durations: [20, 6],
    ...parts,
  };
}

function reportOf(parts: Partial<RolloutReport> = {}): RolloutReport {
  return {
    service: 'crewbook',
    order: 1,
    node: 'node-1',
    life: 'a',
    sequence: 1,
    version: 5,
    isConfirmed: true,
    stableRunning: 0,
    counts: [countsOf()],
    ...parts,
  };
}

const target = (evidence: ReturnType<typeof createEvidence>) =>
  evidence.sums().get('records')?.targets.get('new-1');

test('the counts of all nodes are added', t => {
  const evidence = createEvidence(1);
  evidence.add(reportOf(), 0);
  evidence.add(reportOf({node: 'node-2'}), 0);
  t.like(target(evidence), {sent: 20, answers: 16, failures: 4});
  t.is(target(evidence)?.durations[20], 12);
});

// Guards against a report that is sent again over a new home and counts twice,
// so that a good version seems to fail more often than it does.
test('a report that arrives twice counts once', t => {
  const evidence = createEvidence(1);
  t.true(evidence.add(reportOf(), 0));
  t.false(evidence.add(reportOf(), 0));
  t.like(target(evidence), {sent: 10, failures: 2});
});

test('an older report that arrives late changes nothing', t => {
  const evidence = createEvidence(1);
  const newer = countsOf({sent: 30, answers: 25, failures: 3});
  evidence.add(reportOf({sequence: 7, counts: [newer], version: 9}), 10);
  t.false(evidence.add(reportOf({sequence: 3}), 20));
  t.like(target(evidence), {sent: 30, failures: 3});
  t.like(evidence.nodes()[0], {version: 9, sequence: 7});
});

test('the counts of a node that started again are added to the earlier ones', t => {
  const evidence = createEvidence(1);
  evidence.add(reportOf(), 0);
  evidence.add(reportOf({life: 'b'}), 0);
  t.like(target(evidence), {sent: 20});
});

test('the reports that it gives out lead to the same sums elsewhere', t => {
  const evidence = createEvidence(1);
  evidence.add(reportOf(), 0);
  const more = countsOf({route: 'rare', role: 'stable', instance: ''});
  evidence.add(reportOf({sequence: 2, counts: [more]}), 0);
  const other = createEvidence(1);
  for (const report of evidence.reports()) other.add(report, 0);
  t.deepEqual(other.sums(), evidence.sums());
});

test('what has come since an earlier time is the difference', t => {
  const evidence = createEvidence(1);
  evidence.add(reportOf(), 0);
  const before = evidence.sums();
  const counts = [countsOf({sent: 15, answers: 12, failures: 6})];
  evidence.add(reportOf({sequence: 2, counts}), 0);
  const recent = since(evidence.sums(), before);
  t.like(recent.get('records')?.targets.get('new-1'), {
    sent: 5,
    answers: 4,
    failures: 4,
  });
});
