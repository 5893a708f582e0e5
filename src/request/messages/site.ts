import {isIpAddress} from '../../link/address.js';
import type {Call} from './call.js';

/** The host that a call asks for; empty for an address, which names any node. */
export function siteOf({headers}: Call): string {
  for (let index = 0; index + 1 < headers.length; index += 2) {
    if (headers[index]!.toLowerCase() !== 'host') continue;
    const host = headers[index + 1]!.toLowerCase().replace(/:\d+$/, '');
    return isIpAddress(host) ? '' : host;
  }
  return '';
}
