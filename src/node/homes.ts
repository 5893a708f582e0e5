import type {HomeAddress} from '../fleet/messages.js';
import {parseAddress} from '../link/address.js';
import type {NodeSettings} from '../settings/schema.js';

/** Returns the homes; the setting `homePort`, if given, replaces each port. */
export function resolveHomes({homes, homePort}: NodeSettings): HomeAddress[] {
  return homes.map(home => {
    const {address, ...location} =
      typeof home === 'string' ? {address: home} : home;
    if (homePort === undefined) return {address, ...location};
    return {address: `${parseAddress(address).host}:${homePort}`, ...location};
  });
}
