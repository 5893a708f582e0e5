import type {Admission, Ticket} from '../decisions/admission.js';

/** The tickets of a test and their results. */
export interface RecordedTickets {
  /** Results in the order of their occurrence: `NAME starts` or `NAME CODE`. */
  readonly events: string[];
  /**
   * Offers a ticket with the rank `normal` and a late deadline; `changes`
   * override these defaults.
   */
  offer(name: string, changes?: Partial<Ticket>): Ticket;
}

/** Records the results of tickets that are offered to an admission. */
export function recordTickets(admission: Admission): RecordedTickets {
  const events: string[] = [];
  return {
    events,
    offer(name, changes) {
      const ticket: Ticket = {
        rank: 'normal',
        deadline: 1e6,
        start: () => void events.push(`${name} starts`),
        refuse: reason => void events.push(`${name} ${reason.code.name}`),
        ...changes,
      };
      admission.offer(ticket);
      return ticket;
    },
  };
}
