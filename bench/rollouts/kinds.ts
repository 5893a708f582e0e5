/** The kinds of versions and of trouble that the roll-out experiment plays. */

/** How a new version differs from the old one. */
export interface VersionFault {
  /** Share of answers that fail. */
  readonly failing?: number;
  /** Share of answers that are `slower` times slower. */
  readonly slow?: number;
  readonly slower?: number;
  /** Milliseconds after the order from which the fault shows; default 0. */
  readonly from?: number;
  /** The only route on which it shows; all by default. */
  readonly route?: string;
  /** Utilization of an instance from which it shows; default 0. */
  readonly load?: number;
}

/** Trouble that is no fault of the new version. */
export interface Trouble {
  /** Number of new instances that fail half of their answers. */
  readonly badInstances?: number;
  /** Number of new instances that are four times slower. */
  readonly slowInstances?: number;
  /** Share of answers that fail at both versions, from 3 to 8 s. */
  readonly failingBoth?: number;
  /** Factor of the rate from 4 to 7 s. */
  readonly burst?: number;
  /** Old and new instances that are lost at 5 s. */
  readonly lostOld?: number;
  readonly lostNew?: number;
  /** Whether the leader is lost twice. */
  readonly leaderLost?: boolean;
  /** Entries that are cut off from control from 4 to 8 s. */
  readonly cutEntries?: number;
  /** Whether answers to the leader's proposals are lost. */
  readonly lostAnswers?: boolean;
  /** Milliseconds after the order at which new instances come; default 300. */
  readonly arrival?: number;
  /** Number of new instances, as a part of the old ones; default 1. */
  readonly part?: number;
}

/** One kind of run. */
export interface RunKind {
  readonly name: string;
  readonly fault?: VersionFault;
  readonly trouble?: Trouble;
  /** How it should end. */
  readonly expected: 'completed' | 'rolled-back';
}

/** A version that should take over, in each kind of trouble. */
const good: readonly RunKind[] = [
  {name: 'good', expected: 'completed'},
  {name: 'good, two bad VMs', trouble: {badInstances: 2}},
  {name: 'good, two slow VMs', trouble: {slowInstances: 2}},
  {name: 'good, both fail for a time', trouble: {failingBoth: 0.1}},
  {name: 'good, a burst', trouble: {burst: 1.4}},
  {name: 'good, instances lost', trouble: {lostOld: 2, lostNew: 2}},
  {name: 'good, leader lost twice', trouble: {leaderLost: true}},
  {name: 'good, entries cut off', trouble: {cutEntries: 2}},
  {name: 'good, answers lost', trouble: {lostAnswers: true}},
].map(kind => ({...kind, expected: 'completed'}));

/** A version that should be rolled back. */
const bad: readonly RunKind[] = [
  {name: 'fails 0.3', fault: {failing: 0.3}},
  {name: 'fails 0.3 from 5 s', fault: {failing: 0.3, from: 5_000}},
  {name: 'fails 0.3 from 9 s', fault: {failing: 0.3, from: 9_000}},
  {name: 'fails 0.3 from 10.5 s', fault: {failing: 0.3, from: 10_500}},
  {name: 'fails 0.3 on one route', fault: {failing: 0.3, route: 'rare'}},
  {name: 'fails 0.3 under load', fault: {failing: 0.3, load: 0.4}},
  {name: 'slow 0.5', fault: {slow: 0.5, slower: 4}},
  {name: 'slow 0.5 from 5 s', fault: {slow: 0.5, slower: 4, from: 5_000}},
  {name: 'slow 0.5 on one route', fault: {slow: 0.5, slower: 4, route: 'rare'}},
  {
    name: 'fails 0.3, leader lost twice',
    fault: {failing: 0.3},
    trouble: {leaderLost: true},
  },
  {
    name: 'fails 0.3, entries cut off',
    fault: {failing: 0.3, from: 5_000},
    trouble: {cutEntries: 2},
  },
  {name: 'never comes', trouble: {part: 0}},
  {name: 'too few instances', trouble: {part: 0.3}},
].map(kind => ({...kind, expected: 'rolled-back'}));

/** All kinds. */
export const runKinds: readonly RunKind[] = [...good, ...bad];
