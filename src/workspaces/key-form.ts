/**
 * Whether a text can be a key: 1 to 256 visible ASCII characters without
 * commas, which separate keys in headers and lists.
 */
export function isKey(text: string): boolean {
  return /^[!-+\--~]{1,256}$/.test(text);
}
