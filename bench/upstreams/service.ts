/** The routes and instance sizes of the stand-in services. */

/** The services that a stand-in upstream can simulate. */
export type ServiceName =
  'stock-desk' | 'parts-files' | 'crewbook' | 'drillvault';

/** What a work request does; `once` is work that must not run twice. */
export type WorkKind = 'lookup' | 'once' | 'upload' | 'download';

/** A route of a service whose requests do work. */
export interface WorkRoute {
  readonly method: 'GET' | 'POST' | 'PUT';
  readonly pattern: string;
  readonly kind: WorkKind;
}

/** A service and the capacity of one of its instances. */
export interface ServiceShape {
  readonly slots: number;
  readonly connections: number;
  /** Default duration of one piece of work, in milliseconds. */
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

/** Header with the caller's tag of a request; the response repeats it. */
export const tagHeader = 'x-tag';

/** Header with the SHA-256 digest of the response body, in hex. */
export const digestHeader = 'x-digest';
