/** The messages of the quotas plane; see docs/design/quotas.md. */

/** The sender speaks the plane; the first message in each direction of a link. */
export interface Ready {
  readonly kind: 'ready';
  /** Name of the sender. */
  readonly name: string;
}

/** What a node asks and reports of one workspace. */
export interface AskEntry {
  readonly workspace: string;
  /** Requests that wait for a credit. */
  readonly waiting: number;
  /** Held credits that were used since the last message. */
  readonly spent: number;
  /** Held credits that are returned unused. */
  readonly unused: number;
  /** Credits of requests that did not run. */
  readonly returned: number;
  /** Requests refused since the last message. */
  readonly missed: number;
  /** Credits that the node would hold in addition. */
  readonly wanted: number;
}

/** A node asks for credits and reports those that it has used. */
export interface Ask {
  readonly kind: 'ask';
  readonly sequence: number;
  readonly entries: readonly AskEntry[];
}

/** What a home grants of one workspace. */
export interface CreditEntry {
  readonly workspace: string;
  /** Credits for waiting requests. */
  readonly granted: number;
  /** Credits that the node may hold. */
  readonly ahead: number;
  /** Waiting requests that get none. */
  readonly refused: number;
  /** Milliseconds until the node may ask again; present if `refused`. */
  readonly retry?: number;
  /** Milliseconds over which callers should be spread. */
  readonly spread?: number;
  /** Whether the home has no share that it may use. */
  readonly isUnknown?: boolean;
}

/** Replies to an ask; several may reply to one. */
export interface Credits {
  readonly kind: 'credits';
  readonly sequence: number;
  readonly entries: readonly CreditEntry[];
}

/** The fractions of a quota that a home has. */
export interface Share {
  /** Identifies the assignment; 0 for none. */
  readonly number: number;
  /** Fraction of the quota's rate. */
  readonly rate: number;
  /** Fraction of the quota's capacity. */
  readonly capacity: number;
}

/** A home's present share of one quota and the demand for it. */
export interface DemandEntry extends Share {
  readonly workspace: string;
  /** Requests per second. */
  readonly demand: number;
}

/** A home reports to the leader. */
export interface DemandReport {
  readonly kind: 'demand';
  readonly home: string;
  /** Differs at each start of the home's process. */
  readonly life: string;
  readonly sequence: number;
  /** Whether entries are given for all shares of the home. */
  readonly isFull: boolean;
  /** Whether the home is a relay, whose reports control processes forward. */
  readonly isRelay: boolean;
  readonly entries: readonly DemandEntry[];
}

/** A new share that takes the place of the one with the number `basis`. */
export interface ShareEntry extends Share {
  readonly workspace: string;
  readonly basis: number;
}

/** The leader's reply to a report; renews all shares of the home. */
export interface Shares {
  readonly kind: 'shares';
  /** The home that it is for. */
  readonly home: string;
  readonly life: string;
  readonly leader: string;
  readonly term: number;
  /** Sequence of the report that it replies to. */
  readonly sequence: number;
  /** Whether the leader needs a full report; nothing is renewed then. */
  readonly needsAll: boolean;
  readonly entries: readonly ShareEntry[];
}

/** A home asks another one for credits of its bucket. */
export interface Borrow {
  readonly kind: 'borrow';
  readonly workspace: string;
  readonly number: number;
  readonly count: number;
}

/** Replies to `Borrow`. */
export interface Lend {
  readonly kind: 'lend';
  readonly number: number;
  readonly count: number;
}

/** A message from a home to a node. */
export type HomeMessage = Ready | Credits;

/** A message between homes. */
export type PeerMessage = Ready | DemandReport | Shares | Borrow | Lend;
