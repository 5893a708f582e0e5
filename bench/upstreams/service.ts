/** What each stand-in service offers, in the brief's sizes. */

/** The services that the bench can stand in for. */
export type ServiceName =
  'stock-desk' | 'parts-files' | 'crewbook' | 'drillvault';

/** What a work request does. */
export type WorkKind = 'lookup' | 'once' | 'upload' | 'download';

/** One path of a service that does work. */
export interface WorkRoute {
  readonly method: 'GET' | 'POST' | 'PUT';
  readonly pattern: string;
  readonly kind: WorkKind;
}

/** One service with the sizes of one of its instances. */
export interface ServiceShape {
  readonly slots: number;
  readonly connections: number;
  /** Milliseconds that one piece of work takes by default. */
  readonly work: number;
  readonly routes: readonly WorkRoute[];
}

export const serviceShapes: Record<ServiceName, ServiceShape> = {
  'stock-desk': {
    slots: 20,
    connections: 110,
    work: 10,
    routes: [
      {method: 'GET', pattern: '/stock/:part', kind: 'lookup'},
      {method: 'GET', pattern: '/catalogue/:part', kind: 'lookup'},
      {method: 'POST', pattern: '/bookings', kind: 'once'},
    ],
  },
  'parts-files': {
    slots: 20,
    connections: 110,
    work: 10,
    routes: [
      {method: 'PUT', pattern: '/files/:id', kind: 'upload'},
      {method: 'GET', pattern: '/files/:id', kind: 'download'},
    ],
  },
  crewbook: {
    slots: 10,
    connections: 130,
    work: 10,
    routes: [
      {method: 'GET', pattern: '/records/:id', kind: 'lookup'},
      {method: 'POST', pattern: '/certificates', kind: 'once'},
    ],
  },
  drillvault: {
    slots: 10,
    connections: 130,
    work: 10,
    routes: [
      {method: 'PUT', pattern: '/videos/:id', kind: 'upload'},
      {method: 'GET', pattern: '/gate-checks/:id', kind: 'lookup'},
      {method: 'GET', pattern: '/validity/:id', kind: 'lookup'},
    ],
  },
};

/** Header by which a caller names its request; the answer carries it back. */
export const tagHeader = 'x-tag';

/** Header with the SHA-256 digest of the answer's body, in hex. */
export const digestHeader = 'x-digest';
