/**
 * Finds what a valid configuration contains to no effect: entries that can never match, and limits
 * that contradict each other. The control plane accepts such a configuration.
 */

import type { ConfigurationProblem } from './check.js';
import { isStreamKind } from './model.js';
import type { Account, Accelerator, CallerLimits, Configuration, Route, Service } from './model.js';

/** All warnings about a configuration; empty if each of its entries can take effect. */
export function configurationWarnings(config: Configuration): readonly ConfigurationProblem[] {
  return [
    ...config.routes.flatMap((route) => routeWarnings(route, config.routes)),
    ...serviceWarnings(config),
    ...(config.accounts ?? []).flatMap(accountWarnings),
    ...limitWarnings(config.limits),
  ];
}

function routeWarnings(route: Route, all: readonly Route[]): readonly ConfigurationProblem[] {
  const where = `route ${route.id}`;
  const warnings = route.shares
    .filter((s) => s.weight === 0)
    .map((s) => warningOf(where, `service ${s.service} has weight 0`, 'remove it or raise it'));
  const outer = enclosingRoute(route, all);
  if (outer && servesEqually(outer, route)) {
    const what = `route ${outer.id} with the shorter prefix ${outer.prefix} serves the same`;
    warnings.push(warningOf(where, what, 'remove one'));
  }
  const { latencyTargetMs, timeoutMs, kind, maxEventGapMs } = route;
  if (latencyTargetMs > timeoutMs) {
    const what = `latency target of ${latencyTargetMs} ms is beyond the timeout of ${timeoutMs} ms`;
    warnings.push(warningOf(where, what, 'lower the target or raise the timeout'));
  }
  if (maxEventGapMs !== undefined && !isStreamKind(kind)) {
    const what = 'has a target for gaps between events, but is no stream';
    warnings.push(warningOf(where, what, 'remove the target'));
  }
  return warnings;
}

/** The route that would match the requests of `route` if it did not exist. */
function enclosingRoute(route: Route, all: readonly Route[]): Route | undefined {
  const { host, prefix } = route;
  const outer = all.filter(
    (r) => r.host === host && r.prefix !== prefix && prefix.startsWith(r.prefix),
  );
  return outer.sort((a, b) => b.prefix.length - a.prefix.length)[0];
}

/** Whether two routes differ in their names and prefixes only, as far as requests can tell. */
function servesEqually(a: Route, b: Route): boolean {
  return servingText(a) === servingText(b);
}

function servingText({ id: _, prefix: __, shares, ...rest }: Route): string {
  const total = shares.reduce((sum, s) => sum + s.weight, 0);
  const parts = shares
    .filter((s) => s.weight > 0)
    .map((s) => [s.service, s.weight / total] as const)
    .sort(([a], [b]) => (a < b ? -1 : 1));
  return JSON.stringify([Object.entries(rest).sort(([a], [b]) => (a < b ? -1 : 1)), parts]);
}

function serviceWarnings({ services, routes }: Configuration): readonly ConfigurationProblem[] {
  const named = new Set(routes.flatMap((r) => r.shares.map((s) => s.service)));
  const last = new Map(services.map((s) => [s.id, s]));
  return services.flatMap((service) => {
    const where = `service ${service.id}`;
    if (last.get(service.id) !== service) {
      return [warningOf(where, 'a later service of this name replaces it', 'rename one')];
    }
    const warnings = [...engineWarnings(service)];
    if (!named.has(service.id)) {
      warnings.push(warningOf(where, 'no route names it', 'add a route or remove it'));
    }
    return warnings;
  });
}

function engineWarnings({ id, engine }: Service): readonly ConfigurationProblem[] {
  if (!engine) return [];
  const { slots, layerMb, layerCount, kvBytesPerToken } = engine;
  const where = `service ${id}`;
  const tokens = engine.meanPromptTokens + engine.meanAnswerTokens;
  const requestMb = (tokens * kvBytesPerToken) / layerCount / 1_000_000;
  const remedy = 'correct the sizes or remove the accelerator';
  const warningOn = ({ name, memoryMb }: Accelerator): readonly ConfigurationProblem[] => {
    const memory = `accelerator ${name} of ${memoryMb} MB`;
    if (memoryMb < layerMb) return [warningOf(where, `${memory} holds no layer`, remedy)];
    if (memoryMb >= layerMb + requestMb) return [];
    return [warningOf(where, `${memory} holds no usual request beside one layer`, remedy)];
  };
  const noSlots = slots > 0 ? [] : [warningOf(where, 'slots are 0', 'allow at least one')];
  return [...noSlots, ...engine.accelerators.flatMap(warningOn)];
}

function accountWarnings({ id, keys }: Account): readonly ConfigurationProblem[] {
  if (keys.length > 0) return [];
  return [warningOf(`account ${id}`, 'has no key, so no request is its', 'add a key or remove it')];
}

/** A caller limit of 0 leaves no request that can be served, or switches the limit off. */
function limitWarnings(limits: CallerLimits): readonly ConfigurationProblem[] {
  return Object.entries(limits)
    .filter(([, value]) => value === 0)
    .map(([name]) => warningOf('limits', `${name} is 0`, 'set a limit or leave it out'));
}

function warningOf(where: string, what: string, remedy: string): ConfigurationProblem {
  return { where, what, remedy };
}
