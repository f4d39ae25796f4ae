/** Resolves the routes, accounts and services of one configuration. */

import type { ServiceId } from '@tanagercart/base';
import type { Account, Configuration, Route, Service } from './model.js';

/** An index over a configuration for the lookups that each request needs. */
export class RoutingTable {
  private readonly routesByHost = new Map<string, Map<string, Route>>();
  private readonly accountsByKey = new Map<string, Account>();
  private readonly servicesById = new Map<ServiceId, Service>();

  private constructor(readonly config: Configuration) {
    for (const route of config.routes) this.addRoute(route);
    for (const account of config.accounts ?? []) {
      for (const key of account.keys) this.accountsByKey.set(key, account);
    }
    for (const service of config.services) this.servicesById.set(service.id, service);
  }

  static create(config: Configuration): RoutingTable {
    return new RoutingTable(config);
  }

  /** The route on `host` with the longest prefix that matches `path`, without its query. */
  routeOf(host: string, path: string): Route | undefined {
    const prefixes = this.routesByHost.get(host);
    if (!prefixes) return undefined;
    const query = path.indexOf('?');
    const pathname = query < 0 ? path : path.slice(0, query);
    let end = pathname.lastIndexOf('/');
    while (end >= 0) {
      const route = prefixes.get(pathname.slice(0, end + 1));
      if (route) return route;
      end = end === 0 ? -1 : pathname.lastIndexOf('/', end - 1);
    }
    return undefined;
  }

  /** Whether requests on routes that are not public need a key. */
  get needsKey(): boolean {
    return this.config.accounts !== undefined;
  }

  /** The account that holds `key`. */
  accountOf(key: string): Account | undefined {
    return this.accountsByKey.get(key);
  }

  serviceOf(id: ServiceId): Service | undefined {
    return this.servicesById.get(id);
  }

  private addRoute(route: Route): void {
    const prefixes = this.routesByHost.get(route.host) ?? new Map<string, Route>();
    prefixes.set(route.prefix, route);
    this.routesByHost.set(route.host, prefixes);
  }
}

/** Picks a service of a route by its weights; `draw` is a uniform random number in [0, 1). */
export function pickService(route: Route, draw: number): ServiceId {
  const total = route.shares.reduce((sum, s) => sum + s.weight, 0);
  let remaining = draw * total;
  for (const share of route.shares) {
    remaining -= share.weight;
    if (remaining < 0) return share.service;
  }
  return route.shares.at(-1)!.service;
}
