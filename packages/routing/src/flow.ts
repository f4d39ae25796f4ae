/** Computes a maximum flow by Dinic's algorithm. */

interface Edge {
  readonly to: number;
  capacity: number;
  /** Index of the reverse edge in the edge list of `to`. */
  readonly reverse: number;
}

/** Capacities up to this count as 0, because sums of them are inexact. */
const epsilon = 1e-9;

/** A network of directed edges with capacities. Vertices are numbered from 0. */
export class FlowNetwork {
  /** Outgoing edges of each vertex, with the reverse edges of incoming ones. */
  private readonly edges: Edge[][] = [];
  /** Distance of each vertex from the source in edges; -1 if it cannot be reached. */
  private level: number[] = [];
  /** Index of the first edge of each vertex that may still carry flow in this phase. */
  private nextEdge: number[] = [];

  static create(): FlowNetwork {
    return new FlowNetwork();
  }

  /** Adds a vertex and returns its number. */
  addVertex(): number {
    this.edges.push([]);
    return this.edges.length - 1;
  }

  /** Adds an edge of the given capacity, which may be infinite. */
  addEdge(from: number, to: number, capacity: number): void {
    const out = this.edges[from]!;
    const back = this.edges[to]!;
    out.push({ to, capacity, reverse: back.length });
    back.push({ to: from, capacity: 0, reverse: out.length - 1 });
  }

  /** The maximum flow from `source` to `sink`. It consumes capacities, so call it once. */
  maxFlow(source: number, sink: number): number {
    let total = 0;
    while (this.buildLevels(source, sink)) {
      this.nextEdge = this.edges.map(() => 0);
      for (;;) {
        const pushed = this.augment(source, sink, Infinity);
        if (pushed <= epsilon) break;
        total += pushed;
      }
    }
    return total;
  }

  /** Sets each vertex's distance from `source`; returns whether `sink` can be reached. */
  private buildLevels(source: number, sink: number): boolean {
    this.level = this.edges.map(() => -1);
    this.level[source] = 0;
    const queue = [source];
    for (const at of queue) {
      for (const e of this.edges[at]!) {
        if (e.capacity <= epsilon || this.level[e.to]! >= 0) continue;
        this.level[e.to] = this.level[at]! + 1;
        queue.push(e.to);
      }
    }
    return this.level[sink]! >= 0;
  }

  /** Sends up to `limit` from `at` to `sink` along one path; returns the amount sent. */
  private augment(at: number, sink: number, limit: number): number {
    if (at === sink) return limit;
    const out = this.edges[at]!;
    for (; this.nextEdge[at]! < out.length; this.nextEdge[at]! += 1) {
      const e = out[this.nextEdge[at]!]!;
      if (e.capacity <= epsilon || this.level[e.to] !== this.level[at]! + 1) continue;
      const pushed = this.augment(e.to, sink, Math.min(limit, e.capacity));
      if (pushed <= epsilon) continue;
      e.capacity -= pushed;
      this.edges[e.to]![e.reverse]!.capacity += pushed;
      return pushed;
    }
    return 0;
  }
}
