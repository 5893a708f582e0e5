/** Tells keepers how a claim ended, until each of them took it. */
import type {Keeper} from '../configuration/configuration.js';
import type {Timers} from '../time/timers.js';
import type {Settle} from './messages.js';
import type {KeeperClient} from './keeper-client.js';

/** What a settler is made of. */
export interface SettlementSenderOptions {
  readonly keeperClient: KeeperClient;
  readonly timers: Timers;
  /** The service's keepers now, who may have taken over from those asked. */
  readonly members: (service: string) => readonly Keeper[];
}

/** Tells keepers how claims ended. */
export interface SettlementSender {
  /** Begins to tell those that were asked, and whoever follows them. */
  send(settle: Settle, asked: readonly Keeper[]): void;
}

/** Milliseconds until a settlement is told again; doubled at each try. */
const firstPause = 1000;
const lastPause = 32_000;
/** A release that is lost only blocks the key until its lease ends. */
const lastReleasePause = 2000;

/** Creates a settler. */
export function createSettlementSender(options: SettlementSenderOptions): SettlementSender {
  const {keeperClient: peers, timers, members} = options;

  function tellAll(settle: Settle, asked: readonly Keeper[]): void {
    const isRelease = settle.settlement.kind === 'released';
    const limit = isRelease ? lastReleasePause : lastPause;
    const done = new Set<string>();

    function tellOne(keeper: Keeper): void {
      const asking = peers.ask(keeper, settle, ({kind}) => {
        asking.cancel();
        if (kind === 'settled' || kind === 'stranger') done.add(nameOf(keeper));
      });
    }

    function round(pause: number): void {
      const left = new Map<string, Keeper>();
      for (const keeper of [...asked, ...members(settle.service)]) {
        if (!done.has(nameOf(keeper))) left.set(nameOf(keeper), keeper);
      }
      if (left.size === 0 || pause > limit) return;
      for (const keeper of left.values()) tellOne(keeper);
      timers.after(pause, () => round(pause * 2));
    }

    round(firstPause);
  }

  return {send: tellAll};
}

function nameOf({address, incarnation}: Keeper): string {
  return `${address}/${incarnation}`;
}
