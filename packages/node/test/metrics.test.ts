import assert from 'node:assert/strict';
import { readFile, readdir } from 'node:fs/promises';
import { test } from 'node:test';
import { fileURLToPath } from 'node:url';
import { refusalReasons, retryReasons } from '@tanagercart/protocol';
import type { RetryReason } from '@tanagercart/protocol';
import type { RetryCause } from '@tanagercart/dispatch';
import type { SendError } from '@tanagercart/upstream';

const root = fileURLToPath(new URL('../../../../', import.meta.url));

/** Names in the first column of the table under `heading` of the reference. */
async function documented(heading: string) {
  const page = await readFile(`${root}docs/metrics.md`, 'utf8');
  const section = page.split(/^## /m).find((s) => s.startsWith(`${heading}\n`)) ?? '';
  return [...section.matchAll(/^\| `([^`]+)`/gm)].map((m) => m[1]!).sort();
}

/** Names that the sources pass to `method` of the metrics. */
async function used(method: 'count' | 'gauge' | 'observe') {
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

test('every counter and gauge stands in the reference, and no other', async () => {
  assert.deepEqual(await used('count'), await documented('Counters'));
  assert.deepEqual(await used('gauge'), await documented('Gauges'));
  assert.deepEqual(await used('observe'), await documented('Histograms'));
});

test('every reason of a refusal or a retry stands in the reference, and no other', async () => {
  assert.deepEqual(await documented('Reasons of refusals'), sorted(refusalReasons));
  assert.deepEqual(await documented('Reasons of retries'), sorted(retryReasons));
});

test('every failure of an attempt is a reason of a retry', () => {
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
