/** Maximum length of a key; a longer one is refused without hashing it. */
export const maxKeyLength = 256;

/**
 * Visible ASCII without a comma, which separates keys in headers and lists.
 * Node.js decodes other bytes of a header as Latin-1, so that one key would have
 * two spellings.
 */
const keyForm = /^[\x21-\x2b\x2d-\x7e]+$/;

/** Whether a text can be a key. */
export function isKey(text: string): boolean {
  return text.length <= maxKeyLength && keyForm.test(text);
}
