/** Fits straight lines to measured points, to report how a cost grows with a size. */

import type { Figure } from './report.js';

/** A value that was measured at one size. */
export interface Point {
  readonly size: number;
  readonly value: number;
}

/** A straight line, `value = intercept + slope * size`. */
export interface Line {
  readonly slope: number;
  readonly intercept: number;
}

/** The values of one quantity, measured at several sizes. */
export interface Series {
  readonly name: string;
  /** What the size counts, such as accounts. */
  readonly per: string;
  readonly unit: string;
  readonly points: readonly Point[];
}

/** Fits a line by least squares; needs at least two points of different sizes. */
export function fitLine(points: readonly Point[]): Line {
  const mean = (of: (p: Point) => number) =>
    points.reduce((sum, p) => sum + of(p), 0) / points.length;
  const meanSize = mean((p) => p.size);
  const meanValue = mean((p) => p.value);
  const covariance = mean((p) => (p.size - meanSize) * (p.value - meanValue));
  const slope = covariance / mean((p) => (p.size - meanSize) ** 2);
  return { slope, intercept: meanValue - slope * meanSize };
}

/** Converts a series to figures: its points, then the slope and the intercept of its line. */
export function figuresOf({ name, per, unit, points }: Series): readonly Figure[] {
  const { slope, intercept } = fitLine(points);
  return [
    ...points.map((p) => ({ name: `${name} at ${p.size} ${per}`, value: p.value, unit })),
    { name: `${name}: slope over ${per}`, value: slope, unit },
    { name: `${name}: intercept`, value: intercept, unit },
  ];
}
