import type {
  Drain,
  Policy,
  Route,
  Service,
} from '../configuration/configuration.js';

/** A service with the routes, policies and drains that speak of it. */
export interface Section {
  readonly service: Service;
  readonly routes: readonly Route[];
  readonly policies: readonly Policy[];
  readonly drains: readonly Drain[];
}
