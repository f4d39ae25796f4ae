/**
 * Encodes a text as its difference to a base, for texts that share long parts, such as two versions
 * of a document.
 */

/** Texts are split into pieces that end with this string, the end of a JSON object in a list. */
const pieceEnd = '},';

/** A step of a delta: copies `count` pieces of the base from piece `from` on, or inserts `text`. */
export type DeltaStep =
  | { readonly kind: 'copy'; readonly from: number; readonly count: number }
  | { readonly kind: 'text'; readonly text: string };

/** Steps whose results, joined in order, are the text. */
export type Delta = readonly DeltaStep[];

/** Computes the delta from `base` to `text`. */
export function deltaOf(base: string, text: string): Delta {
  const index = new Map<string, number>();
  splitPieces(base).forEach((piece, i) => index.set(piece, i));
  const steps: DeltaStep[] = [];
  for (const piece of splitPieces(text)) appendPiece(steps, piece, index.get(piece));
  return steps;
}

/** Restores the text from its base; undefined if a step copies pieces beyond the end of `base`. */
export function applyDelta(base: string, delta: Delta): string | undefined {
  const pieces = splitPieces(base);
  const parts: string[] = [];
  for (const step of delta) {
    if (step.kind === 'text') parts.push(step.text);
    else {
      if (step.from + step.count > pieces.length) return undefined;
      parts.push(...pieces.slice(step.from, step.from + step.count));
    }
  }
  return parts.join('');
}

/** Appends a piece, merged with the last step if possible; `at` is its index in the base. */
function appendPiece(steps: DeltaStep[], piece: string, at: number | undefined): void {
  const last = steps.at(-1);
  if (at === undefined) {
    const text = last?.kind === 'text' ? last.text + piece : piece;
    if (last?.kind === 'text') steps.pop();
    steps.push({ kind: 'text', text });
    return;
  }
  if (last?.kind === 'copy' && last.from + last.count === at) {
    steps.pop();
    steps.push({ kind: 'copy', from: last.from, count: last.count + 1 });
    return;
  }
  steps.push({ kind: 'copy', from: at, count: 1 });
}

function splitPieces(text: string): readonly string[] {
  const pieces: string[] = [];
  let from = 0;
  while (from < text.length) {
    const at = text.indexOf(pieceEnd, from);
    const end = at < 0 ? text.length : at + pieceEnd.length;
    pieces.push(text.slice(from, end));
    from = end;
  }
  return pieces;
}
