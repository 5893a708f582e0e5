import {isIpAddress} from '../../link/address.js';
import type {Call} from './call.js';

/**
 * The host name in the `host` header, without the port. It is empty for an IP
 * address, since the address of every node leads to the same services.
 */
export function hostOf({headers}: Call): string {
  for (let index = 0; index + 1 < headers.length; index += 2) {
    if (headers[index]!.toLowerCase() !== 'host') continue;
    const host = headers[index + 1]!.toLowerCase().replace(/:\d+$/, '');
    return isIpAddress(host) ? '' : host;
  }
  return '';
}
