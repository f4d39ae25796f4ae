/** What a configuration must fulfil as a whole, beyond the types of its fields. */

import type { Configuration, Route } from './model.js';

/** What is wrong with a configuration, and where. */
export interface ConfigurationProblem {
  readonly where: string;
  readonly what: string;
  readonly remedy: string;
}

/** Every problem of a configuration; none where it may be accepted. */
export function validateConfiguration(config: Configuration): readonly ConfigurationProblem[] {
  return [...routeProblems(config), ...placeProblems(config), ...keyProblems(config)];
}

function routeProblems(config: Configuration): readonly ConfigurationProblem[] {
  const known = new Set(config.services.map((s) => s.id));
  return config.routes.flatMap((route) => {
    const unknown = route.shares.filter((s) => !known.has(s.service));
    const problems = unknown.map((s) =>
      problem(route, `service ${s.service} is unknown`, 'add it'),
    );
    const weight = route.shares.reduce((sum, s) => sum + s.weight, 0);
    if (weight <= 0) problems.push(problem(route, 'weights add up to 0', 'give one a weight'));
    if (route.timeoutMs <= 0) problems.push(problem(route, 'timeout is 0', 'give it one'));
    if (!route.prefix.startsWith('/') || !route.prefix.endsWith('/')) {
      problems.push(problem(route, 'prefix is not between slashes', 'begin and end it with one'));
    }
    return problems;
  });
}

function placeProblems(config: Configuration): readonly ConfigurationProblem[] {
  const taken = new Map<string, Route>();
  const problems: ConfigurationProblem[] = [];
  for (const route of config.routes) {
    const place = `${route.host}${route.prefix}`;
    const other = taken.get(place);
    if (other) problems.push(problem(route, `${place} is taken by ${other.id}`, 'move one'));
    taken.set(place, route);
  }
  return problems;
}

function keyProblems(config: Configuration): readonly ConfigurationProblem[] {
  const holders = new Map<string, string>();
  const problems: ConfigurationProblem[] = [];
  for (const account of config.accounts) {
    for (const key of account.keys) {
      const holder = holders.get(key);
      if (holder !== undefined && holder !== account.id) {
        const what = `shares a key with account ${holder}`;
        problems.push({ where: `account ${account.id}`, what, remedy: 'give each its own' });
      }
      holders.set(key, account.id);
    }
  }
  return problems;
}

function problem(route: Route, what: string, remedy: string): ConfigurationProblem {
  return { where: `route ${route.id}`, what, remedy };
}
