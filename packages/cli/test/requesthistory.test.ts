import assert from 'node:assert/strict';
import { test } from 'node:test';
import { parseLogLine, requestHistory } from '../src/requesthistory.js';
import type { LogLine } from '../src/requesthistory.js';

function parseLines(texts: readonly string[]): readonly LogLine[] {
  return texts.flatMap((text, i) => {
    const line = parseLogLine(text, i);
    return line ? [line] : [];
  });
}

function lineOf(host: string, time: string, msg: string, fields: Record<string, unknown> = {}) {
  return JSON.stringify({ hostname: host, time: `2026-01-01T00:00:${time}Z`, msg, ...fields });
}

test('a history has the ordered lines of its request and the nearby lines about its upstreams', () => {
  const lines = parseLines([
    `  12.1 entry-1 ${lineOf('entry-1', '02.000', 'relay: Sending.', { request: 'r1', path: 'a:1=0-5' })}`,
    lineOf('entry-1', '02.010', 'relay: Sending.', { request: 'r2', path: 'b:1=0-5' }),
    'not a record',
    lineOf('entry-1', '02.500', 'relay: Attempt failed.', { request: 'r1', culprit: 'a:1' }),
    lineOf('voter-1', '03.000', 'layers: Placing layers.', { address: 'a:1', layers: '0-5' }),
    lineOf('voter-1', '03.000', 'layers: Placing layers.', { address: 'b:1', layers: '0-5' }),
    lineOf('voter-1', '33.000', 'layers: Placing layers.', { address: 'a:1', layers: '0-5' }),
  ]);
  assert.deepEqual(requestHistory(lines, 'r1'), [
    'Request r1',
    '     0 ms  entry-1                relay: Sending. path=a:1=0-5',
    '   500 ms  entry-1                relay: Attempt failed. culprit=a:1',
    '',
    'What processes learned of its upstreams around then:',
    '  1000 ms  voter-1                layers: Placing layers. address=a:1 layers=0-5',
  ]);
  assert.deepEqual(requestHistory(lines, 'r9'), []);
});
