/** Straight lines through measured points. */

import type { Figure } from './report.js';

/** A measured value at a size. */
export interface Point {
  readonly size: number;
  readonly value: number;
}

/** The line that fits points best by least squares. */
export interface Line {
  readonly slope: number;
  readonly intercept: number;
}

/** Values measured at several sizes of one thing. */
export interface Series {
  readonly name: string;
  /** What the size counts. */
  readonly per: string;
  readonly unit: string;
  readonly points: readonly Point[];
}

/** The least-squares line through at least two points of different sizes. */
export function fitLine(points: readonly Point[]): Line {
  const mean = (of: (p: Point) => number) =>
    points.reduce((sum, p) => sum + of(p), 0) / points.length;
  const meanSize = mean((p) => p.size);
  const meanValue = mean((p) => p.value);
  const covariance = mean((p) => (p.size - meanSize) * (p.value - meanValue));
  const slope = covariance / mean((p) => (p.size - meanSize) ** 2);
  return { slope, intercept: meanValue - slope * meanSize };
}

/** A series as figures: its points, then its slope and intercept. */
export function figuresOf({ name, per, unit, points }: Series): readonly Figure[] {
  const { slope, intercept } = fitLine(points);
  return [
    ...points.map((p) => ({ name: `${name} at ${p.size} ${per}`, value: p.value, unit })),
    { name: `${name}: slope over ${per}`, value: slope, unit },
    { name: `${name}: intercept`, value: intercept, unit },
  ];
}
