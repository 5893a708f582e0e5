import type {HomeAddress} from '../fleet/messages.js';
import {parseAddress} from '../link/address.js';
import type {NodeSettings} from '../settings/schema.js';

/** The homes, at the port of all of them where settings give one. */
export function resolveHomes({homes, homePort}: NodeSettings): HomeAddress[] {
  return homes.map(home => {
    const {address, ...place} =
      typeof home === 'string' ? {address: home} : home;
    if (homePort === undefined) return {address, ...place};
    return {address: `${parseAddress(address).host}:${homePort}`, ...place};
  });
}
