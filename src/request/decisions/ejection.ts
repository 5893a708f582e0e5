/**
 * Ejects instances from load balancing after failed calls of an entry (outlier
 * ejection). The health that an upstream reports may be outdated or wrong,
 * whereas failed calls are certain.
 */
import type {Log} from '../../log/log.js';
import type {Clock} from '../../time/clock.js';

/** Options of `createEjection`; times in milliseconds. */
export interface EjectionOptions {
  /** Consecutive failures after which an instance is ejected; 5 by default. */
  readonly failures?: number;
  /** Duration of the first ejection, doubled for each next; 5000 by default. */
  readonly duration?: number;
  /** Maximum duration of an ejection; 60000 by default. */
  readonly maxDuration?: number;
  /**
   * Maximum share of a service's instances that are ejected; 0.5 by default.
   */
  readonly maxShare?: number;
  readonly clock: Clock;
  readonly log: Log;
}

/** The instances that one entry has ejected. */
export interface Ejection {
  /** Records a successful call at an instance. */
  succeeded(instance: string): void;
  /** Records a call that failed because of the instance. */
  failed(instance: string): void;
  /** Whether an instance is ejected, regardless of the maximum share. */
  isEjected(instance: string): boolean;
  /** The instances of a service that may be used, given the maximum share. */
  allowed(instances: readonly string[]): ReadonlySet<string>;
  /** Removes the record of an instance that is gone or has restarted. */
  remove(instance: string): void;
}

interface FailureRecord {
  /** Failures since the last success. */
  failures: number;
  /** Number of ejections since the last success. */
  times: number;
  /** End of the current or last ejection, in milliseconds. */
  until: number;
}

const defaults = {
  failures: 5,
  duration: 5_000,
  maxDuration: 60_000,
  maxShare: 0.5,
};

/** Creates an ejection without records. */
export function createEjection(options: EjectionOptions): Ejection {
  const {clock, log} = options;
  const limits = {...defaults, ...options};
  const records = new Map<string, FailureRecord>();

  function eject(instance: string, record: FailureRecord): void {
    const doubled = limits.duration * 2 ** record.times;
    const duration = Math.min(doubled, limits.maxDuration);
    record.until = clock.now() + duration;
    record.times++;
    const {failures, times} = record;
    log.warn('instance ejected', {instance, failures, times, duration});
    // After the ejection, one failure is enough to eject the instance again.
    record.failures = limits.failures - 1;
  }

  /**
   * The ejected instances, up to the maximum share; those with the latest end
   * come first. Without a maximum, a fault that affects all instances would
   * leave a service without instances.
   */
  function ejected(instances: readonly string[]): string[] {
    const candidates = instances.filter(isEjected);
    const maxCount = Math.floor(instances.length * limits.maxShare);
    return candidates
      .sort(
        (left, right) => records.get(right)!.until - records.get(left)!.until,
      )
      .slice(0, maxCount);
  }

  function isEjected(instance: string): boolean {
    const record = records.get(instance);
    return record !== undefined && record.until > clock.now();
  }

  return {
    isEjected,
    succeeded: instance => {
      const record = records.get(instance);
      if (record === undefined || record.until > clock.now()) return;
      if (record.times > 0) log.info('instance in use again', {instance});
      records.delete(instance);
    },
    failed: instance => {
      const record = records.get(instance) ?? {failures: 0, times: 0, until: 0};
      records.set(instance, record);
      if (record.until > clock.now()) return;
      record.failures++;
      if (record.failures >= limits.failures) eject(instance, record);
    },
    allowed: instances => {
      const allowed = new Set(instances);
      if (records.size === 0) return allowed;
      for (const name of ejected(instances)) allowed.delete(name);
      return allowed;
    },
    remove: instance => void records.delete(instance),
  };
}
