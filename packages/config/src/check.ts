/** Validates the constraints of a configuration that the types of its fields do not express. */

import type { Configuration, Route } from './model.js';

/** A violated constraint: the route or account, the fault, and how to correct it. */
export interface ConfigurationProblem {
  readonly where: string;
  readonly what: string;
  readonly remedy: string;
}

/** All problems of a configuration; empty if it is valid. */
export function validateConfiguration(config: Configuration): readonly ConfigurationProblem[] {
  return [...routeProblems(config), ...duplicateRouteProblems(config), ...keyProblems(config)];
}

function routeProblems(config: Configuration): readonly ConfigurationProblem[] {
  const known = new Set(config.services.map((s) => s.id));
  return config.routes.flatMap((route) => {
    const unknown = route.shares.filter((s) => !known.has(s.service));
    const problems = unknown.map((s) =>
      problemOf(route, `service ${s.service} is unknown`, 'add the service'),
    );
    const weight = route.shares.reduce((sum, s) => sum + s.weight, 0);
    if (weight <= 0) problems.push(problemOf(route, 'weights add up to 0', 'give one a weight'));
    if (route.timeoutMs <= 0) problems.push(problemOf(route, 'timeout is 0', 'set a timeout'));
    if (!route.prefix.startsWith('/') || !route.prefix.endsWith('/')) {
      problems.push(
        problemOf(route, 'prefix does not begin and end with a slash', 'add the slash'),
      );
    }
    return problems;
  });
}

function duplicateRouteProblems(config: Configuration): readonly ConfigurationProblem[] {
  const taken = new Map<string, Route>();
  const problems: ConfigurationProblem[] = [];
  for (const route of config.routes) {
    const location = `${route.host}${route.prefix}`;
    const other = taken.get(location);
    if (other) problems.push(problemOf(route, `${location} is taken by ${other.id}`, 'change one'));
    taken.set(location, route);
  }
  return problems;
}

function keyProblems(config: Configuration): readonly ConfigurationProblem[] {
  const holders = new Map<string, string>();
  const problems: ConfigurationProblem[] = [];
  for (const account of config.accounts ?? []) {
    for (const key of account.keys) {
      const holder = holders.get(key);
      if (holder !== undefined && holder !== account.id) {
        const what = `shares a key with account ${holder}`;
        problems.push({
          where: `account ${account.id}`,
          what,
          remedy: 'give each account its own keys',
        });
      }
      holders.set(key, account.id);
    }
  }
  return problems;
}

function problemOf(route: Route, what: string, remedy: string): ConfigurationProblem {
  return { where: `route ${route.id}`, what, remedy };
}
