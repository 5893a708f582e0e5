import {configurationCodes as codes} from '../configuration/codes.js';
import type {Item, Kind} from '../configuration/configuration.js';
import type {ConfigurationMachine} from '../configuration/create-configuration-machine.js';
import {decodeAnswer} from '../configuration/entry.js';
import type {Limits} from '../configuration/limits.js';
import type {Answer, Command} from '../configuration/messages.js';
import type {Consensus, Member} from '../consensus/consensus.js';
import type {Code} from '../result/code.js';
import type {Result} from '../result/failure.js';
import type {Subscription, Timers} from '../time/timers.js';
import type {FleetSummary, FleetView} from './fleet-view.js';
import {checkLimits} from './limits.js';
import type {ControlView, History, Items, Reply, Waited} from './messages.js';
import {refuse} from './refusal.js';

/** What the operators' service of a control process works on. */
export interface ServiceOptions {
  /** The control process's name. */
  readonly name: string;
  readonly consensus: Consensus;
  readonly machine: ConfigurationMachine;
  readonly fleet: FleetView;
  readonly timers: Timers;
  readonly limits: Limits;
  /** The operators' address of a control process; undefined if not known. */
  readonly leaderAddress: (name: string) => string | undefined;
}

/** What operators can ask of a control process. */
export interface OperatorService {
  change(command: Command): Promise<Reply<Answer>>;
  items(kind: Kind, name?: string): Promise<Reply<Items>>;
  history(count: number): Promise<Reply<History>>;
  inForce(): FleetSummary;
  /** Waits at most `within` milliseconds. */
  wait(version: number, within: number): Promise<Waited>;
  control(): ControlView;
  replace(leaving: string, joining: Member): Promise<Reply<null>>;
}

/** Milliseconds between two looks at the fleet while someone waits. */
const waitPeriod = 20;

/** Milliseconds that a query waits for this process to catch up. */
const catchUpLimit = 2000;

const kindMaps = {
  service: 'services',
  route: 'routes',
  policy: 'policies',
  drain: 'drains',
} as const;

/** Creates the operators' service of one control process. */
export function createOperatorService(
  options: ServiceOptions,
): OperatorService {
  const {consensus, machine, fleet, timers, limits} = options;

  async function change(command: Command): Promise<Reply<Answer>> {
    const checked = checkLimits(command, limits, timers.wall());
    if (!checked.ok) return refused(checked);
    const entry = machine.prepare(command, timers.wall());
    const proposed = await consensus.propose(entry);
    if (!proposed.ok) return refused(proposed);
    return {ok: true, value: decodeAnswer(proposed.value)};
  }

  function refused(result: Result<unknown> & {ok: false}): Reply<never> {
    const {code, message} = result;
    return {ok: false, refusal: refuse(code, message, redirect(code))};
  }

  function redirect(code: Code): string | undefined {
    if (code.name !== 'not-leader') return undefined;
    const {leader} = consensus.status();
    if (leader === undefined || leader === options.name) return undefined;
    return options.leaderAddress(leader);
  }

  /** Reads nothing older than what was accepted before the question came. */
  async function query<T>(read: () => T): Promise<Reply<T>> {
    const barrier = await consensus.readBarrier();
    if (!barrier.ok) return refused(barrier);
    const caughtUp = await until(
      () => consensus.status().commitIndex >= barrier.value,
      catchUpLimit,
    );
    if (caughtUp) return {ok: true, value: read()};
    const message = 'this process is behind its group; ask another';
    return {ok: false, refusal: refuse(codes.behind, message)};
  }

  function items(kind: Kind, name?: string): Promise<Reply<Items>> {
    return query(() => {
      const {version, ...maps} = machine.current();
      const values = [...maps[kindMaps[kind]].values()];
      const chosen = values
        .filter(value => name === undefined || value.name === name)
        .sort(byName)
        .map(value => ({kind, value}) as Item);
      return {version, items: chosen};
    });
  }

  function until(isDone: () => boolean, within: number): Promise<boolean> {
    if (isDone()) return Promise.resolve(true);
    const deadline = timers.now() + within;
    return new Promise(resolve => {
      const ticker: Subscription = timers.every(waitPeriod, () => {
        const done = isDone();
        if (!done && timers.now() < deadline) return;
        ticker.cancel();
        resolve(done);
      });
    });
  }

  async function wait(version: number, within: number): Promise<Waited> {
    const isInForce = () => (fleet.summary().leastVersion ?? 0) >= version;
    const inForce = await until(isInForce, within);
    const {leastVersion, nodes} = fleet.summary();
    return {version, inForce, leastVersion, nodes};
  }

  function control(): ControlView {
    const {voters, ...status} = consensus.status();
    return {
      name: options.name,
      ...status,
      appliedIndex: machine.appliedIndex(),
      version: machine.current().version,
      digest: machine.digest(),
      members: voters,
    };
  }

  async function replace(
    leaving: string,
    joining: Member,
  ): Promise<Reply<null>> {
    const replaced = await consensus.replace(leaving, joining);
    return replaced.ok ? {ok: true, value: null} : refused(replaced);
  }

  return {
    change,
    items,
    history: count =>
      query(() => ({
        version: machine.current().version,
        changes: machine.history().slice(0, count),
      })),
    inForce: () => fleet.summary(),
    wait,
    control,
    replace,
  };
}

function byName(left: {name: string}, right: {name: string}): number {
  return left.name < right.name ? -1 : 1;
}
