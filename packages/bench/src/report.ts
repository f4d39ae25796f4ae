/** The report of a bench, and its form as a table. */

/** One measured figure, with its target if it has one. */
export interface Figure {
  readonly name: string;
  readonly value: number;
  readonly unit: string;
  readonly target?: Target;
}

/** A bound that the project has set as a target; it is never taken from a measurement. */
export type Target =
  | { readonly kind: 'at-least'; readonly value: number }
  | { readonly kind: 'at-most'; readonly value: number };

/** All figures of one run. With `--json` it is printed as it is. */
export interface Report {
  readonly bench: string;
  readonly seed: number;
  readonly figures: readonly Figure[];
}

/** Whether a figure meets its target; undefined if it has none. */
export function meetsTarget(figure: Figure): boolean | undefined {
  const { target, value } = figure;
  if (!target) {
    return undefined;
  }
  return target.kind === 'at-least' ? value >= target.value : value <= target.value;
}

/** Formats a report as a text table. */
export function formatTable(report: Report): string {
  const rows = report.figures.map(
    (f) => [f.name, formatValue(f.value), f.unit, verdict(f)] as const,
  );
  const width = (column: 0 | 1 | 2) => Math.max(...rows.map((r) => r[column].length), 0);
  const lines = rows.map(
    ([name, value, unit, status]) =>
      `${name.padEnd(width(0))}  ${value.padStart(width(1))} ${unit.padEnd(width(2))}  ${status}`,
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
