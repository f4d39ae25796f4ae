import assert from 'node:assert/strict';
import { readFile, readdir } from 'node:fs/promises';
import { test } from 'node:test';
import { fileURLToPath } from 'node:url';
import { refusalReasons, retryReasons } from '@tanagercart/protocol';
import type { RetryReason } from '@tanagercart/protocol';
import type { RetryCause } from '@tanagercart/dispatch';
import type { SendError } from '@tanagercart/upstream';

const root = fileURLToPath(new URL('../../../../', import.meta.url));

/** Names in the first column of the table under `heading` of the metrics reference. */
async function documentedNames(heading: string) {
  const page = await readFile(`${root}docs/metrics.md`, 'utf8');
  const section = page.split(/^## /m).find((s) => s.startsWith(`${heading}\n`)) ?? '';
  return [...section.matchAll(/^\| `([^`]+)`/gm)].map((m) => m[1]!).sort();
}

/** Metric names that the sources pass to `metrics.method`. */
async function usedNames(method: 'count' | 'gauge' | 'observe') {
  const names = new Set<string>();
  const packages = (await readdir(`${root}packages`)).map((name) => `packages/${name}`);
  for (const folder of [...packages, 'platform']) {
    for (const file of await readdir(`${root}${folder}/src`)) {
      const text = await readFile(`${root}${folder}/src/${file}`, 'utf8');
      for (const m of text.matchAll(new RegExp(`metrics\\.${method}\\(\\s*'([^']+)'`, 'g'))) {
        names.add(m[1]!);
      }
    }
  }
  return [...names].sort();
}

const sorted = (names: readonly string[]) => [...names].sort();

test('the reference lists exactly the counters, gauges and histograms in use', async () => {
  assert.deepEqual(await usedNames('count'), await documentedNames('Counters'));
  assert.deepEqual(await usedNames('gauge'), await documentedNames('Gauges'));
  assert.deepEqual(await usedNames('observe'), await documentedNames('Histograms'));
});

test('the reference lists exactly the reasons of refusals and retries', async () => {
  assert.deepEqual(await documentedNames('Reasons of refusals'), sorted(refusalReasons));
  assert.deepEqual(await documentedNames('Reasons of retries'), sorted(retryReasons));
});

test('every failure of an attempt is a retry reason', () => {
  const failures: Record<RetryCause['kind'] | SendError['kind'], RetryReason> = {
    unreachable: 'unreachable',
    refused: 'refused',
    'died-before-first': 'died-before-first',
    'died-mid-stream': 'died-mid-stream',
    stalled: 'stalled',
    corrupt: 'corrupt',
    preempted: 'preempted',
    lost: 'lost',
  };
  assert.deepEqual(sorted(Object.keys(failures)), sorted(Object.values(failures)));
  assert.deepEqual(sorted(Object.keys(failures)), sorted(retryReasons));
});
