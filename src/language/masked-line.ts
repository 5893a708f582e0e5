/**
 * Hides what may be a key in a line of a command that is shown to an operator.
 * The line may be malformed, so everything is hidden that isn't known to be
 * something else: quoted text, except a file name, the word after `keys`, and
 * unknown words in the edit of a workspace.
 */

const parts = /"[^"]*"?|;|#.*|[^\s;"#]+/g;

/** Words that may be shown in the edit of a workspace. */
const workspaceWords: ReadonlySet<string> = new Set([
  'keys',
  'priority',
  'critical',
  'normal',
  'background',
  'rate',
  'burst',
  'put',
  'remove',
  'end',
]);

/** Words whose next word may be shown in the edit of a workspace. */
const fieldsWithoutKeys: ReadonlySet<string> = new Set([
  'priority',
  'rate',
  'burst',
]);

/** Returns the line with `*` for each character that may be part of a key. */
export function maskKeys(line: string): string {
  const preceding: string[] = [];
  return line.replace(parts, part => {
    const isHidden = mayBeKey(part, preceding);
    if (part === ';') preceding.length = 0;
    else preceding.push(part);
    return isHidden ? '*'.repeat(part.length) : part;
  });
}

/** `preceding` are the words before it in the same edit. */
function mayBeKey(part: string, preceding: readonly string[]): boolean {
  if (part === ';' || part.startsWith('#')) return false;
  const previous = preceding.at(-1) ?? '';
  if (previous === 'keys') return true;
  if (part.startsWith('"')) return previous !== 'apply';
  const at = preceding.indexOf('workspace');
  const isName = at === preceding.length - 1;
  const isWorkspace = at > 0 && preceding[at - 1] === 'put' && !isName;
  if (!isWorkspace && !preceding.includes('keys')) return false;
  return !workspaceWords.has(part) && !fieldsWithoutKeys.has(previous);
}
