/** Looks up routes and accounts of one configuration. */

import type { ServiceId } from '@tanagercart/base';
import type { Account, Configuration, Route, Service } from './model.js';

/** A configuration, indexed for requests. */
export class RoutingTable {
  private readonly byHost = new Map<string, Map<string, Route>>();
  private readonly byKey = new Map<string, Account>();
  private readonly byService = new Map<ServiceId, Service>();

  private constructor(readonly config: Configuration) {
    for (const route of config.routes) this.addRoute(route);
    for (const account of config.accounts) {
      for (const key of account.keys) this.byKey.set(key, account);
    }
    for (const service of config.services) this.byService.set(service.id, service);
  }

  static create(config: Configuration): RoutingTable {
    return new RoutingTable(config);
  }

  /** The route with the longest prefix of `path` on `host`. */
  routeOf(host: string, path: string): Route | undefined {
    const prefixes = this.byHost.get(host);
    if (!prefixes) return undefined;
    const query = path.indexOf('?');
    const plain = query < 0 ? path : path.slice(0, query);
    let end = plain.lastIndexOf('/');
    while (end >= 0) {
      const route = prefixes.get(plain.slice(0, end + 1));
      if (route) return route;
      end = end === 0 ? -1 : plain.lastIndexOf('/', end - 1);
    }
    return undefined;
  }

  /** The account that holds `key`. */
  accountOf(key: string): Account | undefined {
    return this.byKey.get(key);
  }

  serviceOf(id: ServiceId): Service | undefined {
    return this.byService.get(id);
  }

  private addRoute(route: Route): void {
    const prefixes = this.byHost.get(route.host) ?? new Map<string, Route>();
    prefixes.set(route.prefix, route);
    this.byHost.set(route.host, prefixes);
  }
}

/** Picks a service of a route by its weights; `draw` is in [0, 1). */
export function pickService(route: Route, draw: number): ServiceId {
  const total = route.shares.reduce((sum, s) => sum + s.weight, 0);
  let left = draw * total;
  for (const share of route.shares) {
    left -= share.weight;
    if (left < 0) return share.service;
  }
  return route.shares.at(-1)!.service;
}
