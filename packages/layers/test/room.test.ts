import assert from 'node:assert/strict';
import { test } from 'node:test';
import { DataCentreId } from '@tanagercart/base';
import { findPath } from '../src/index.js';
import type { RequestSize, Stage } from '../src/index.js';
import { engine, requestSize, stage } from './fixtures.js';

function segmentsOf(stages: readonly Stage[], size: RequestSize) {
  const dataCentre = DataCentreId('north');
  const random = { next: () => 0 };
  return findPath({ engine: engine(), stages, size, dataCentre, random })?.map((p) => p.stage.id);
}

const first = stage('a', 'north', 0, 40);
const full = { ...stage('full', 'north', 40, 80), stepFactor: 3, tokenLayersUsed: 1e6 };

// Guards against requests that are preempted, or preempt others, while slower stages have memory.
test('no path leads over a stage whose memory is full while another complete path has room', () => {
  const longAnswer = { promptTokens: 800, answerTokens: 4000 };
  const slowKind = stage('slow-kind', 'north', 40, 80);
  assert.deepEqual(segmentsOf([first, full, slowKind], longAnswer), ['a', 'slow-kind']);
  const hampered = { ...slowKind, slowness: 6 };
  assert.deepEqual(segmentsOf([first, full, hampered], requestSize), ['a', 'slow-kind']);
  assert.deepEqual(segmentsOf([first, full], requestSize), ['a', 'full']);
});
