import type {Admission, Ticket} from '../decisions/admission.js';

/** Tickets of a test, and what became of each. */
export interface RecordedTickets {
  /** What happened, in order: `NAME starts` or `NAME CODE`. */
  readonly events: string[];
  /** Offers a ticket of normal priority with time enough; `changes` go over that. */
  offer(name: string, changes?: Partial<Ticket>): Ticket;
}

/** Creates a record of the tickets that are offered to an admission. */
export function recordTickets(admission: Admission): RecordedTickets {
  const events: string[] = [];
  return {
    events,
    offer(name, changes) {
      const ticket: Ticket = {
        priority: 'normal',
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
