/** The difference between two texts that repeat long pieces, such as versions of a document. */

/** Texts are compared in pieces that end after this mark. */
const mark = '},';

/** One step of a delta: pieces copied from the base, or new text. */
export type DeltaStep =
  | { readonly kind: 'copy'; readonly from: number; readonly count: number }
  | { readonly kind: 'text'; readonly text: string };

/** Steps that make a text out of a base. */
export type Delta = readonly DeltaStep[];

/** The steps that turn `base` into `text`. */
export function deltaOf(base: string, text: string): Delta {
  const index = new Map<string, number>();
  piecesOf(base).forEach((piece, i) => index.set(piece, i));
  const steps: DeltaStep[] = [];
  for (const piece of piecesOf(text)) push(steps, piece, index.get(piece));
  return steps;
}

/** Makes the text again; undefined where a step does not fit the base. */
export function applyDelta(base: string, delta: Delta): string | undefined {
  const pieces = piecesOf(base);
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

function push(steps: DeltaStep[], piece: string, at: number | undefined): void {
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

function piecesOf(text: string): readonly string[] {
  const pieces: string[] = [];
  let from = 0;
  while (from < text.length) {
    const at = text.indexOf(mark, from);
    const end = at < 0 ? text.length : at + mark.length;
    pieces.push(text.slice(from, end));
    from = end;
  }
  return pieces;
}
