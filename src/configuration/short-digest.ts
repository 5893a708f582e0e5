/**
 * The first eight hexadecimal digits of a key's digest, which messages and log
 * lines show instead of the key.
 */
export function shortDigest(digest: string): string {
  return Buffer.from(digest, 'base64url').toString('hex').slice(0, 8);
}
