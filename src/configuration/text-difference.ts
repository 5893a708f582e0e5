/**
 * Differences between two similar texts, such as an operator's revision and its
 * base.
 */

/** New text, or `count` pieces of the base starting at index `from`. */
export type TextPart = string | readonly [from: number, count: number];

/** The parts that form a text. */
export type TextDifference = readonly TextPart[];

/** Characters at which a piece of a text ends. */
const pieceEnd = /[}\n]/g;

/**
 * Splits a text into pieces. A revision is JSON with hundreds of objects, of
 * which a change affects a few, and a piece of the base is found by one
 * look-up. For 425 kB it takes 3 to 5 ms of one core to compute a difference
 * and 1.3 to 1.6 ms to apply it. A library that compares bytes took 10 to 14 ms
 * to apply it, at each member.
 */
function splitIntoPieces(text: string): string[] {
  const pieces: string[] = [];
  let from = 0;
  for (const {index} of text.matchAll(pieceEnd)) {
    pieces.push(text.slice(from, index + 1));
    from = index + 1;
  }
  if (from < text.length) pieces.push(text.slice(from));
  return pieces;
}

/** Computes the difference from `base` to `text`. */
export function differenceOf(base: string, text: string): TextDifference {
  const pieces = splitIntoPieces(base);
  const indexes = new Map(pieces.map((piece, at) => [piece, at]));
  const parts: Array<string | [from: number, count: number]> = [];

  /** Extends the last part if `piece` is the next piece of the base. */
  function extendLastPart(piece: string): boolean {
    const last = parts.at(-1);
    if (!Array.isArray(last)) return false;
    if (pieces[last[0] + last[1]] !== piece) return false;
    last[1]++;
    return true;
  }

  for (const piece of splitIntoPieces(text)) {
    if (extendLastPart(piece)) continue;
    const index = indexes.get(piece);
    const last = parts.at(-1);
    if (index !== undefined) parts.push([index, 1]);
    else if (typeof last === 'string') parts[parts.length - 1] = last + piece;
    else parts.push(piece);
  }
  return parts;
}

/** Applies a difference to `base`. */
export function applyDifference(
  base: string,
  difference: TextDifference,
): string {
  const pieces = splitIntoPieces(base);
  return difference
    .map(part => {
      if (typeof part === 'string') return part;
      const [from, count] = part;
      return pieces.slice(from, from + count).join('');
    })
    .join('');
}
