/**
 * Which instances are left out on an entry's own evidence. What an upstream
 * says of its health may lag or be untrue; failed work does not lie.
 */
import type {Log} from '../../log/log.js';
import type {Clock} from '../../time/clock.js';

/** Options of `createEjection`; times in milliseconds. */
export interface EjectionOptions {
  /** Failures in a row after which an instance is left out; 5 unless given. */
  readonly failures?: number;
  /** How long the first time; doubled each next one; 5000 unless given. */
  readonly duration?: number;
  /** Longest time left out; 60000 unless given. */
  readonly maxDuration?: number;
  /** Largest share of a service's instances left out; 0.5 unless given. */
  readonly maxShare?: number;
  readonly clock: Clock;
  readonly log: Log;
}

/** The instances that one entry leaves out. */
export interface Ejection {
  /** Work at an instance succeeded. */
  succeeded(instance: string): void;
  /** Work at an instance failed by the instance's fault. */
  failed(instance: string): void;
  /** Whether an instance is left out, unless too many are. */
  isEjected(instance: string): boolean;
  /** Those of a service's instances that may be used; never none of some. */
  allowed(instances: readonly string[]): ReadonlySet<string>;
  /** Forgets instances that are gone. */
  remove(instance: string): void;
}

interface Evidence {
  /** Failures since the last success. */
  failures: number;
  /** How often it was left out since it last did well. */
  times: number;
  until: number;
}

const defaults = {failures: 5, duration: 5_000, maxDuration: 60_000, maxShare: 0.5};

/** Creates an ejection that has no evidence yet. */
export function createEjection(options: EjectionOptions): Ejection {
  const {clock, log} = options;
  const limits = {...defaults, ...options};
  const known = new Map<string, Evidence>();

  function leaveOut(instance: string, evidence: Evidence): void {
    const doubled = limits.duration * 2 ** evidence.times;
    const duration = Math.min(doubled, limits.maxDuration);
    evidence.until = clock.now() + duration;
    evidence.times++;
    const {failures, times} = evidence;
    log.warn('instance ejected', {instance, failures, times, duration});
    // One more failure on its return is enough to leave it out again.
    evidence.failures = limits.failures - 1;
  }

  /**
   * The ones left out, least recently first, up to the ceiling. Without it a
   * fault that all instances share would leave a service without any.
   */
  function ejected(instances: readonly string[]): string[] {
    const out = instances.filter(isOut);
    const most = Math.floor(instances.length * limits.maxShare);
    return out
      .sort((left, right) => known.get(right)!.until - known.get(left)!.until)
      .slice(0, most);
  }

  function isOut(instance: string): boolean {
    const evidence = known.get(instance);
    return evidence !== undefined && evidence.until > clock.now();
  }

  return {
    isEjected: isOut,
    succeeded: instance => {
      const evidence = known.get(instance);
      if (evidence === undefined || evidence.until > clock.now()) return;
      if (evidence.times > 0) log.info('instance in use again', {instance});
      known.delete(instance);
    },
    failed: instance => {
      const evidence = known.get(instance) ?? {failures: 0, times: 0, until: 0};
      known.set(instance, evidence);
      if (evidence.until > clock.now()) return;
      evidence.failures++;
      if (evidence.failures >= limits.failures) leaveOut(instance, evidence);
    },
    allowed: instances => {
      const allowed = new Set(instances);
      if (known.size === 0) return allowed;
      for (const name of ejected(instances)) allowed.delete(name);
      return allowed;
    },
    remove: instance => void known.delete(instance),
  };
}
