/** What a measurement reports. */

/** One figure, with the target it is held against where there is one. */
export interface Figure {
  readonly name: string;
  readonly value: number;
  readonly unit: string;
  readonly target?: Target;
}

/** A bound from the stated aims; never taken from a measurement. */
export type Target =
  | { readonly kind: 'at-least'; readonly value: number }
  | { readonly kind: 'at-most'; readonly value: number };

/** All figures of one run. */
export interface Report {
  readonly bench: string;
  readonly seed: number;
  readonly figures: readonly Figure[];
}

/** Whether a figure meets its target; undefined where it has none. */
export function meetsTarget(figure: Figure): boolean | undefined {
  const { target, value } = figure;
  if (!target) {
    return undefined;
  }
  return target.kind === 'at-least' ? value >= target.value : value <= target.value;
}

/** The report as a table for people. */
export function formatTable(report: Report): string {
  const rows = report.figures.map(
    (f) => [f.name, formatValue(f.value), f.unit, verdict(f)] as const,
  );
  const width = (column: 0 | 1 | 2) => Math.max(...rows.map((r) => r[column].length), 0);
  const lines = rows.map(
    ([name, value, unit, verdictText]) =>
      `${name.padEnd(width(0))}  ${value.padStart(width(1))} ${unit.padEnd(width(2))}  ${verdictText}`,
  );
  return [`${report.bench} (seed ${report.seed})`, ...lines, ''].join('\n');
}

function formatValue(value: number): string {
  if (Number.isInteger(value) || Math.abs(value) >= 1000) {
    return value.toFixed(0);
  }
  return value.toPrecision(4);
}

function verdict(figure: Figure): string {
  const { target } = figure;
  if (!target) {
    return '';
  }
  const bound = `${target.kind === 'at-least' ? '>=' : '<='} ${target.value}`;
  return `${bound} ${meetsTarget(figure) ? 'met' : 'MISSED'}`;
}
