import {isIP} from 'node:net';
import type {Address} from './link.js';

/** The host and the port of an address. */
export interface HostAndPort {
  readonly host: string;
  readonly port: number;
}

/** Splits `host:port`; the host is an IPv4 address or a bracketed IPv6 address. */
export function parseAddress(address: Address): HostAndPort {
  const colon = address.lastIndexOf(':');
  const host = address.slice(0, colon).replace(/^\[|\]$/g, '');
  return {host, port: Number(address.slice(colon + 1))};
}

/** Whether a text is an IP address and a port from 1 to 65535. */
export function isAddress(text: string): boolean {
  const {host, port} = parseAddress(text);
  const isPort = Number.isInteger(port) && port > 0 && port < 65_536;
  return isIP(host) !== 0 && isPort;
}

/** Whether a host is an IP address, not a name. */
export function isIpAddress(host: string): boolean {
  return isIP(host.replace(/^\[|\]$/g, '')) !== 0;
}
