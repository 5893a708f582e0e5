/** Control processes and nodes with quotas, on links and time of a test. */
import {Packr} from 'msgpackr';
import {emptyConfiguration} from '../../configuration/configuration.js';
import type {
  Configuration,
  Quota,
  Workspace,
} from '../../configuration/configuration.js';
import type {Consensus, Role, Status} from '../../consensus/consensus.js';
import {createSilentLog} from '../../log/log.js';
import {createNoMetrics} from '../../metrics/metrics.js';
import {createRandom} from '../../random/random.js';
import {commonCodes} from '../../result/codes.js';
import {failure, success} from '../../result/failure.js';
import {createFakeTimers} from '../../time/fakes/fake-timers.js';
import type {FakeTimers} from '../../time/fakes/fake-timers.js';
import type {QuotaBounds} from '../budget.js';
import {createQuotaController} from '../controller.js';
import {createQuotaExchange} from '../exchange.js';
import type {QuotaExchange} from '../exchange.js';
import {createNodeQuotas} from '../node-quotas.js';
import type {NodeQuotas} from '../node-quotas.js';
import type {Credit, QuotaRefusalReason} from '../quotas.js';
import {openLink} from './test-link.js';
import type {TestLink, TestNetwork} from './test-link.js';
import {createTestProcess} from './test-process.js';
import type {TestProcess} from './test-process.js';

/** Options of `createQuotaGroup`. */
export interface QuotaGroupOptions {
  readonly homes: number;
  readonly nodes: number;
  readonly bounds: QuotaBounds;
  readonly seed?: number;
  /**
   * Milliseconds of a home's processor for each message that it receives; 0 by
   * default.
   */
  readonly messageTime?: number;
}

/** A request that asked for a credit. */
export interface Taken {
  readonly workspace: string;
  readonly node: string;
  readonly askedAt: number;
  decidedAt: number;
  outcome: 'waiting' | 'granted' | QuotaRefusalReason;
  retryAfter: number;
  isGivenBack: boolean;
  credit: Credit | undefined;
}

/** One home of a test. */
export interface TestHome {
  readonly process: TestProcess;
  readonly exchange: QuotaExchange;
}

/** One node of a test. */
export interface TestNode {
  readonly process: TestProcess;
  readonly quotas: NodeQuotas;
  link: TestLink | undefined;
}

/** The processes of a test. */
export interface QuotaGroup {
  readonly timers: FakeTimers;
  readonly homes: Map<string, TestHome>;
  readonly nodes: Map<string, TestNode>;
  readonly taken: Taken[];
  /** Messages by the kind of sender and receiver: `node>home` and so on. */
  readonly messages: Map<string, number>;
  /** Bytes of messages from and to nodes, without framing. */
  nodeBytes(): number;
  /** Puts quotas into force at all processes that are reached in time. */
  configure(quotas: Readonly<Record<string, Quota>>, spread?: number): void;
  take(node: string, workspace: string, wait?: number): Taken;
  /** Begins the next term, unless no quorum can elect this home. */
  elect(home: string): void;
  leader(): string;
  /** Separates processes from all others. */
  partition(names: readonly string[]): void;
  heal(): void;
  kill(name: string): void;
  startHome(name: string): void;
  startNode(name: string): void;
  /** Lets time pass and promises settle. */
  advance(duration: number): Promise<void>;
}

/** Milliseconds in which promises settle. */
const step = 5;

/** Milliseconds after which a node or home connects again. */
const reconnectDelay = 300;

/** Creates homes and nodes; the first home leads. */
export function createQuotaGroup(options: QuotaGroupOptions): QuotaGroup {
  const {bounds, messageTime = 0} = options;
  const packr = new Packr({useRecords: false});
  const timers = createFakeTimers(1_000_000);
  const random = createRandom(options.seed ?? 1);
  const homes = new Map<string, TestHome>();
  const nodes = new Map<string, TestNode>();
  const taken: Taken[] = [];
  const messages = new Map<string, number>();
  const starts = new Map<string, number>();
  /** When the processors of homes have handled all that has arrived. */
  const busyUntil = new Map<string, number>();
  const roleObservers = new Map<string, (status: Status) => void>();
  const believed = new Map<string, {role: Role; term: number}>();
  let homeLinks: TestLink[] = [];
  let cutOff = new Set<string>();
  let configuration = configurationOf({}, 1);
  let term = 1;
  let nodeBytes = 0;
  let leader = 'home-1';

  const isCut = (from: string, to: string) =>
    cutOff.has(from) !== cutOff.has(to);
  const kindOf = (name: string) => name.slice(0, name.indexOf('-'));
  const network: TestNetwork = {
    timers,
    delay: () => 0.2 + random.fraction() * 1.4,
    isCut,
    handlingDelay(to) {
      if (messageTime === 0 || !homes.has(to)) return 0;
      const now = timers.now();
      const end = Math.max(now, busyUntil.get(to) ?? now) + messageTime;
      busyUntil.set(to, end);
      return end - now;
    },
    onSend(from, to, message) {
      const isNode = nodes.has(from) || nodes.has(to);
      if (isNode) nodeBytes += packr.pack(message).length;
      const kind = `${kindOf(from)}>${kindOf(to)}`;
      messages.set(kind, (messages.get(kind) ?? 0) + 1);
    },
  };

  const isAlive = (name: string) => homes.get(name)?.process.isDead === false;

  function hasQuorum(name: string): boolean {
    const reached = [...homes.keys()].filter(
      other => isAlive(other) && !isCut(name, other),
    );
    return reached.length > options.homes / 2;
  }

  function createConsensus(process: TestProcess): Consensus {
    const {name} = process;
    const status = () =>
      ({...(believed.get(name) ?? {role: 'follower', term})}) as Status;
    return {
      status,
      onRoleChange: observe => void roleObservers.set(name, observe),
      readBarrier: () =>
        new Promise(resolve => {
          const isConfirmed = leader === name && hasQuorum(name);
          process.timers.after(3, () =>
            resolve(
              isConfirmed
                ? success(1)
                : failure(commonCodes.unreachable, 'no quorum'),
            ),
          );
        }),
    } as Partial<Consensus> as Consensus;
  }

  function tell(name: string): void {
    const home = homes.get(name);
    if (home === undefined) return;
    home.process.run(() => {
      const role = leader === name ? 'leader' : 'follower';
      believed.set(name, {role, term});
      roleObservers.get(name)?.({role, term} as Status);
    });
  }

  function createProcess(name: string): TestProcess {
    const start = (starts.get(name) ?? 0) + 1;
    starts.set(name, start);
    return createTestProcess(name, timers);
  }

  function startHome(name: string): void {
    const process = createProcess(name);
    const exchange = createQuotaExchange({
      name,
      isRelay: false,
      timers: process.timers,
      log: createSilentLog(),
      bounds,
    });
    const consensus = createConsensus(process);
    believed.set(name, {
      role: leader === name ? 'leader' : 'follower',
      term,
    });
    const controller = createQuotaController({
      name,
      consensus,
      exchange,
      asOf: () => process.timers.now(),
      timers: process.timers,
      log: createSilentLog(),
      bounds,
    });
    const home: TestHome = {
      process,
      exchange: {
        ...exchange,
        update(next) {
          controller.update(next);
          exchange.update(next);
        },
      },
    };
    homes.set(name, home);
    home.exchange.update(configuration);
  }

  function linkHomes(): void {
    homeLinks = homeLinks.filter(link => link.isOpen());
    const linked = new Set(
      homeLinks.map(({processes}) => processes.map(({name}) => name).join()),
    );
    const alive = [...homes.values()].filter(({process}) => !process.isDead);
    for (const left of alive) {
      for (const right of alive) {
        const names = [left.process.name, right.process.name];
        if (names[0]! >= names[1]! || linked.has(names.join())) continue;
        if (isCut(names[0]!, names[1]!)) continue;
        const link = openLink(network, left.process, right.process);
        homeLinks.push(link);
        left.exchange.peer(link.ends[0]);
        right.exchange.peer(link.ends[1]);
      }
    }
  }

  function startNode(name: string): void {
    const process = createProcess(name);
    const quotas = createNodeQuotas({
      timers: process.timers,
      random,
      log: createSilentLog(),
      metrics: createNoMetrics(),
      bounds,
      leaveHome: () => {},
    });
    nodes.set(name, {process, quotas, link: undefined});
    quotas.update(configuration);
    attach(name);
  }

  function attach(name: string): void {
    const node = nodes.get(name)!;
    if (node.process.isDead || node.link?.isOpen() === true) return;
    const reachable = [...homes.values()].filter(
      ({process}) => !process.isDead && !isCut(name, process.name),
    );
    if (reachable.length === 0) return;
    const number = Number(name.slice(name.indexOf('-') + 1));
    const home = reachable[number % reachable.length]!;
    const link = openLink(network, node.process, home.process);
    node.link = link;
    home.exchange.accept(link.ends[1]);
    node.quotas.attach(link.ends[0]);
  }

  function reconnect(): void {
    linkHomes();
    for (const name of nodes.keys()) attach(name);
  }

  function kill(name: string): void {
    const process = (homes.get(name) ?? nodes.get(name))!.process;
    process.isDead = true;
    for (const link of homeLinks) {
      if (link.processes.includes(process)) link.close();
    }
    for (const {link} of nodes.values()) {
      if (link?.processes.includes(process) === true) link.close();
    }
  }

  function take(node: string, workspace: string, wait = 100): Taken {
    const {process, quotas} = nodes.get(node)!;
    const record: Taken = {
      workspace,
      node,
      askedAt: timers.now(),
      decidedAt: timers.now(),
      outcome: 'waiting',
      retryAfter: 0,
      isGivenBack: false,
      credit: undefined,
    };
    taken.push(record);
    process.run(() => {
      const decision = quotas.take(workspace, process.timers.now() + wait);
      void Promise.resolve(decision).then(each => {
        record.decidedAt = timers.now();
        if (each.kind === 'granted') {
          record.outcome = 'granted';
          record.credit = each.credit;
        } else {
          record.outcome = each.reason;
          record.retryAfter = each.retryAfter;
        }
      });
    });
    return record;
  }

  for (let index = 1; index <= options.homes; index++)
    startHome(`home-${index}`);
  linkHomes();
  for (let index = 1; index <= options.nodes; index++)
    startNode(`node-${index}`);
  timers.every(reconnectDelay, reconnect);

  return {
    timers,
    homes,
    nodes,
    taken,
    messages,
    nodeBytes: () => nodeBytes,
    configure(quotas, spread = 50) {
      configuration = configurationOf(quotas, configuration.version + 1);
      const next = configuration;
      for (const {process, exchange} of homes.values()) {
        timers.after(random.fraction() * spread, () =>
          process.run(() => exchange.update(next)),
        );
      }
      for (const {process, quotas: own} of nodes.values()) {
        timers.after(random.fraction() * spread, () =>
          process.run(() => own.update(next)),
        );
      }
    },
    take,
    elect(home) {
      if (!isAlive(home) || !hasQuorum(home)) return;
      leader = home;
      term++;
      for (const name of homes.keys()) {
        if (name === home || !isCut(home, name)) tell(name);
      }
    },
    leader: () => leader,
    partition(names) {
      cutOff = new Set(names);
    },
    heal() {
      cutOff = new Set();
      for (const name of homes.keys()) tell(name);
    },
    kill,
    startHome,
    startNode,
    async advance(duration) {
      for (let rest = duration; rest > 0; rest -= step) {
        timers.advance(Math.min(step, rest));
        for (let turn = 0; turn < 4; turn++) await Promise.resolve();
      }
    },
  };
}

function configurationOf(
  quotas: Readonly<Record<string, Quota>>,
  version: number,
): Configuration {
  const workspaces = new Map<string, Workspace>();
  for (const [name, quota] of Object.entries(quotas)) {
    workspaces.set(name, {name, keys: [], quota});
  }
  return {...emptyConfiguration, version, workspaces};
}
