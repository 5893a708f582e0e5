import type {Departure} from '../configuration/departures.js';

/** Where departures are kept so that they outlive the process that heard them. */
export abstract class DepartureStore {
  /** Resolves to true once a majority of the control group has synced it. */
  abstract record(departure: Departure): Promise<boolean>;
  /**
   * Resolves to all departures of an instance that were recorded before the
   * call; undefined if it is not sure that these are all.
   */
  abstract recall(instance: string): Promise<readonly Departure[] | undefined>;
  /** Whether questions are answered; false beside homes of older releases. */
  abstract isServed(): boolean;
  /** Calls `observe` each time questions begin to be answered. */
  abstract onServed(observe: () => void): void;
}
