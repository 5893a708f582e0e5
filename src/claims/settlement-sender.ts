/**
 * Sends settlements of claims to keepers until each keeper has confirmed them
 * or the pause between two attempts would exceed its maximum.
 */
import type {Keeper} from '../configuration/configuration.js';
import type {Timers} from '../time/timers.js';
import type {Settle} from './messages.js';
import type {KeeperClient} from './keeper-client.js';

/** Options of `createSettlementSender`. */
export interface SettlementSenderOptions {
  readonly keeperClient: KeeperClient;
  readonly timers: Timers;
  /**
   * The service's current keepers, which may have replaced those asked before.
   */
  readonly members: (service: string) => readonly Keeper[];
}

/** Sends settlements to keepers. */
export interface SettlementSender {
  /**
   * Sends a settlement to the keepers that were asked and to their successors.
   */
  send(settle: Settle, asked: readonly Keeper[]): void;
}

/** Milliseconds until a settlement is sent again; doubled at each attempt. */
const minPause = 1000;
const maxPause = 32_000;
/**
 * Maximum for a release. It is shorter because a lost release blocks the key
 * only until the lease ends.
 */
const maxReleasePause = 2000;

/** Creates a sender of settlements. */
export function createSettlementSender(
  options: SettlementSenderOptions,
): SettlementSender {
  const {keeperClient, timers, members} = options;

  function sendToAll(settle: Settle, asked: readonly Keeper[]): void {
    const isRelease = settle.settlement.kind === 'released';
    const limit = isRelease ? maxReleasePause : maxPause;
    const confirmed = new Set<string>();

    function sendToOne(keeper: Keeper): void {
      const subscription = keeperClient.ask(keeper, settle, ({kind}) => {
        subscription.cancel();
        if (kind === 'settled' || kind === 'stranger')
          confirmed.add(nameOf(keeper));
      });
    }

    function sendRound(pause: number): void {
      const remaining = new Map<string, Keeper>();
      for (const keeper of [...asked, ...members(settle.service)]) {
        if (!confirmed.has(nameOf(keeper)))
          remaining.set(nameOf(keeper), keeper);
      }
      if (remaining.size === 0 || pause > limit) return;
      for (const keeper of remaining.values()) sendToOne(keeper);
      timers.after(pause, () => sendRound(pause * 2));
    }

    sendRound(minPause);
  }

  return {send: sendToAll};
}

function nameOf({address, incarnation}: Keeper): string {
  return `${address}/${incarnation}`;
}
