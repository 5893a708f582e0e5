/** Divides quotas among homes while its control process leads the group. */
import type {Configuration} from '../configuration/configuration.js';
import type {Consensus} from '../consensus/consensus.js';
import type {Log} from '../log/log.js';
import type {Subscription, Timers} from '../time/timers.js';
import {quotasOf} from './budget.js';
import type {QuotaBounds} from './budget.js';
import {createDivider} from './divider.js';
import type {Divider} from './divider.js';
import type {QuotaExchange} from './exchange.js';
import {createLeaseClock} from './lease-clock.js';
import type {DemandReport, Shares} from './messages.js';
import {quotaPeriods} from './periods.js';

/** Options of `createQuotaController`. */
export interface QuotaControllerOptions {
  readonly name: string;
  readonly consensus: Pick<
    Consensus,
    'status' | 'readBarrier' | 'onRoleChange'
  >;
  readonly exchange: Pick<QuotaExchange, 'lead'>;
  /** Local time as of which a quorum last confirmed the configuration. */
  readonly asOf: () => number | undefined;
  readonly timers: Timers;
  readonly log: Log;
  readonly bounds: QuotaBounds;
}

/** The leader's part of quotas; idle while its process does not lead. */
export interface QuotaController {
  /** Follows the configuration that this process has applied. */
  update(configuration: Configuration): void;
  stop(): void;
}

interface Term {
  readonly number: number;
  readonly divider: Divider;
  readonly begunAt: number;
  /** When the last barrier that succeeded was started. */
  confirmedAt: number;
  isConfirming: boolean;
}

/** Creates the controller of a control process. */
export function createQuotaController(
  options: QuotaControllerOptions,
): QuotaController {
  const {name, consensus, exchange, timers, bounds} = options;
  const log = options.log.scope('quotas');
  const leaseClock = createLeaseClock(timers);
  let quotas = quotasOf(undefined);
  let term: Term | undefined;
  let timer: Subscription | undefined;

  function followRole(): void {
    const status = consensus.status();
    if (status.role !== 'leader') term = undefined;
    else if (term?.number !== status.term) begin(status.term);
    schedule();
  }

  function begin(number: number): void {
    const divider = createDivider({
      name,
      term: number,
      clock: timers,
      bounds,
      onLost: home => log.warn('home lost its share of quotas', {home}),
    });
    divider.configure(quotas, false);
    term = {
      number,
      divider,
      begunAt: timers.now(),
      confirmedAt: -Infinity,
      isConfirming: false,
    };
    if (quotas.size > 0) log.info('dividing quotas', {term: number});
  }

  function schedule(): void {
    const isNeeded = term !== undefined && quotas.size > 0;
    if (!isNeeded) {
      timer?.cancel();
      timer = undefined;
    } else if (timer === undefined) {
      timer = timers.every(quotaPeriods.renewal, confirmNow);
      confirmNow();
    }
  }

  function confirmNow(): void {
    if (term !== undefined) void confirm(term);
  }

  /** Confirms that no other process has been elected since. */
  async function confirm(current: Term): Promise<void> {
    if (current.isConfirming) return;
    current.isConfirming = true;
    const startedAt = leaseClock.now();
    const result = await consensus.readBarrier();
    current.isConfirming = false;
    const {role, term: number} = consensus.status();
    if (!result.ok || role !== 'leader' || number !== current.number) return;
    current.confirmedAt = startedAt;
  }

  function reply(report: DemandReport): Shares | undefined {
    if (term === undefined) return undefined;
    const age = leaseClock.now() - term.confirmedAt;
    if (age > quotaPeriods.leadership) return undefined;
    return term.divider.reply(report);
  }

  exchange.lead(reply);
  consensus.onRoleChange(followRole);
  followRole();

  return {
    update(configuration) {
      const before = quotas;
      quotas = quotasOf(configuration);
      for (const [workspace, {rate, burst}] of quotas) {
        const old = before.get(workspace);
        if (old === undefined || (rate >= old.rate && burst >= old.burst)) {
          continue;
        }
        log.info('limit lowered', {workspace, rate, burst});
      }
      // After a confirmation in this term all changes of earlier terms have
      // been applied.
      const asOf = options.asOf() ?? -Infinity;
      term?.divider.configure(quotas, asOf > term.begunAt);
      schedule();
    },
    stop: () => timer?.cancel(),
  };
}
