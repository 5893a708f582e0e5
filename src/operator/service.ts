import type {Item, Kind} from '../configuration/configuration.js';
import type {ConfigurationMachine} from '../configuration/create-configuration-machine.js';
import {decodeAnswer} from '../configuration/entry.js';
import type {Limits} from '../configuration/limits.js';
import type {Answer, Command} from '../configuration/messages.js';
import {consensusCodes} from '../consensus/codes.js';
import type {Consensus, Member} from '../consensus/consensus.js';
import type {Fleet} from '../fleet/fleet.js';
import type {Appointer} from '../keepers/appointer.js';
import type {Code} from '../result/code.js';
import type {Result} from '../result/failure.js';
import type {Subscription, Timers} from '../time/timers.js';
import {checkLimits} from './limits.js';
import type {
  ControlView,
  History,
  InForce,
  Items,
  Reply,
  Waited,
} from './messages.js';
import {refuse} from './refusal.js';

/** What the operators' service of a control process works on. */
export interface ServiceOptions {
  /** The control process's name. */
  readonly name: string;
  readonly consensus: Consensus;
  readonly machine: ConfigurationMachine;
  readonly fleet: Pick<Fleet, 'summary'>;
  /** Who appoints keepers; absent where nobody does. */
  readonly keepers?: Pick<Appointer, 'acceptLoss'>;
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
  inForce(): Promise<InForce>;
  /** Waits at most `within` milliseconds. */
  wait(version: number, within: number): Promise<Waited>;
  control(): ControlView;
  replace(leaving: string, joining: Member): Promise<Reply<null>>;
  /** Gives up the claims of a service's stopped keepers. */
  acceptLoss(service: string): Promise<Reply<Answer>>;
  /** Ends the waits, so that a planned stop need not sit through them. */
  stop(): void;
}

/** Milliseconds between two looks at the fleet while someone waits. */
const waitPeriod = 20;

/**
 * Milliseconds after which a look at the fleet does without the majority: what
 * is in force where is asked most when something has failed.
 */
const confirmLimit = 1000;

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
  let isStopping = false;

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
    return {ok: true, value: read()};
  }

  async function inForce(): Promise<InForce> {
    const confirmed = await new Promise<boolean>(resolve => {
      const late = timers.after(confirmLimit, () => resolve(false));
      void consensus.readBarrier().then(barrier => {
        late.cancel();
        resolve(barrier.ok);
      });
    });
    const {version} = machine.current();
    return {confirmed, summary: fleet.summary(version)};
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
        if (!done && !isStopping && timers.now() < deadline) return;
        ticker.cancel();
        resolve(done);
      });
    });
  }

  async function wait(version: number, within: number): Promise<Waited> {
    const isInForce = () => {
      const {nodes, inForce, isSettled} = fleet.summary(version);
      return isSettled && nodes > 0 && inForce === nodes;
    };
    const inForce = await until(isInForce, within);
    return {version, inForce, summary: fleet.summary(version)};
  }

  function control(): ControlView {
    const status = consensus.status();
    const {role, term, leader, commitIndex, lastIndex, snapshotIndex} = status;
    return {
      name: options.name,
      role,
      term,
      leader,
      commitIndex,
      lastIndex,
      snapshotIndex,
      appliedIndex: machine.appliedIndex(),
      version: machine.current().version,
      digest: machine.digest(),
      members: status.voters,
      learners: status.learners,
    };
  }

  async function replace(
    leaving: string,
    joining: Member,
  ): Promise<Reply<null>> {
    const replaced = await consensus.replace(leaving, joining);
    return replaced.ok ? {ok: true, value: null} : refused(replaced);
  }

  async function acceptLoss(service: string): Promise<Reply<Answer>> {
    const {role, leader} = consensus.status();
    const {keepers} = options;
    if (role !== 'leader' || keepers === undefined) {
      const message = `the leader is ${leader ?? 'not known'}; ask it`;
      return refused({ok: false, code: consensusCodes.notLeader, message});
    }
    const accepted = await keepers.acceptLoss(service);
    return accepted.ok ? {ok: true, value: accepted.value} : refused(accepted);
  }

  return {
    change,
    items,
    history: count =>
      query(() => ({
        version: machine.current().version,
        changes: machine.history().slice(0, count),
      })),
    inForce,
    wait,
    control,
    replace,
    acceptLoss,
    stop: () => {
      isStopping = true;
    },
  };
}

function byName(left: {name: string}, right: {name: string}): number {
  return left.name < right.name ? -1 : 1;
}
