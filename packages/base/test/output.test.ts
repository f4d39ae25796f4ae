import assert from 'node:assert/strict';
import { test } from 'node:test';
import { BoundedSink, HeldClock, PrometheusMetrics, SuspendAwareClock } from '../src/index.js';

test('counters, gauges and histograms are exported as text', async () => {
  const metrics = PrometheusMetrics.create();
  metrics.count('request.refused', { reason: 'no-path' });
  metrics.count('request.refused', { reason: 'no-path' }, 2);
  metrics.gauge('lease.ms', 7);
  metrics.observe('request.ms', 30, { kind: 'stream' });
  const text = await metrics.text();
  assert.match(text, /tanagercart_request_refused_total\{reason="no-path"\} 3/);
  assert.match(text, /tanagercart_lease_ms 7/);
  assert.match(text, /tanagercart_request_ms_bucket\{kind="stream",le="20"\} 0/);
  assert.match(text, /tanagercart_request_ms_bucket\{kind="stream",le="50"\} 1/);
  assert.match(text, /tanagercart_request_ms_sum\{kind="stream"\} 30/);
  assert.equal(metrics.read('request.refused'), 3);
});

test('lines are dropped while the reader is too slow, and their number is written later', () => {
  const target = { writableLength: 0, lines: [] as string[], write: (_: string) => true };
  target.write = (line) => {
    target.lines.push(line);
    target.writableLength += line.length;
    return true;
  };
  const sink = BoundedSink.create(target, 10);
  for (const line of ['one\n', 'two\n', 'three\n', 'four\n']) sink.write(line);
  assert.deepEqual(target.lines, ['one\n', 'two\n']);
  target.writableLength = 0;
  sink.write('five\n');
  assert.match(target.lines[2]!, /left out.*"count":2/);
  assert.equal(target.lines[3], 'five\n');
});

test('the clock counts the time for which the machine was suspended', () => {
  const inner = HeldClock.create();
  let wallAheadMs = 0;
  const clock = SuspendAwareClock.create({
    now: () => inner.now(),
    latest: () => inner.latest(),
    wall: () => inner.wall() + wallAheadMs,
    sleep: () => Promise.resolve(),
  });
  assert.equal(clock.latest(), 0);
  wallAheadMs = 5000;
  assert.equal(clock.latest(), 5000);
  wallAheadMs = 1000;
  assert.equal(clock.latest(), 5000, 'time does not go back');
  assert.equal(clock.now(), 0, 'a step of the wall clock is not time that has passed');
});
