import { strict as assert } from 'node:assert';
import { test } from 'node:test';
import {
  HeldClock,
  LoadMonitor,
  PrometheusMetrics,
  SuspendAwareClock,
  SystemClock,
  createStopController,
  silentLogger,
  systemRepeat,
  waitEnded,
} from '../src/index.js';
import type { Clock, LogFields, Logger, Repeat } from '../src/index.js';
import { holdUp } from './fixtures.js';

/** A clock whose next sleep ends late by `takeDelayMs()`, as in a process that is held up. */
function lateClock(inner: HeldClock, takeDelayMs: () => number): Clock {
  return {
    now: () => inner.now(),
    latest: () => inner.latest(),
    wall: () => inner.wall(),
    sleep: (ms, signal) => inner.sleep(ms + takeDelayMs(), signal),
  };
}

/** Repeats by sleeps of a clock. */
function repeatBy(clock: Clock): Repeat {
  return (ms, call) => {
    const stop = createStopController();
    const run = async () => {
      while (!stop.signal.aborted) {
        await clock.sleep(ms, stop.signal);
        if (!stop.signal.aborted) call();
      }
    };
    void run();
    return () => stop.abort(waitEnded);
  };
}

function recordingLogger(lines: LogFields[]): Logger {
  const logger: Logger = { ...silentLogger, warn: (_, fields = {}) => lines.push(fields) };
  return { ...logger, part: () => logger };
}

test('a delay of the event loop is published and logged', async () => {
  const held = HeldClock.create();
  const metrics = PrometheusMetrics.create();
  const lines: LogFields[] = [];
  let nextDelayMs = 0;
  const takeDelayMs = () => {
    const delayMs = nextDelayMs;
    nextDelayMs = 0;
    return delayMs;
  };
  const stop = new AbortController();
  const clock = lateClock(held, takeDelayMs);
  const monitor = LoadMonitor.create({
    clock,
    repeat: repeatBy(clock),
    logger: recordingLogger(lines),
    metrics,
    utilization: () => 0.75,
  });
  const running = monitor.run(stop.signal);
  await held.advance(1500);
  assert.deepEqual(lines, []);
  nextDelayMs = 400;
  await held.advance(2500);
  assert.deepEqual(lines, [{ delayMs: 400, busy: 0.75 }]);
  const text = await metrics.text();
  assert.match(text, /tanagercart_process_busy 0\.75/);
  assert.match(text, /tanagercart_process_delay_ms 0/);
  stop.abort();
  await running;
});

test('a forward step of the wall clock is logged, and by how much', async () => {
  const held = HeldClock.create();
  const lines: LogFields[] = [];
  let wallAheadMs = 0;
  const clock = SuspendAwareClock.create({
    ...lateClock(held, () => 0),
    wall: () => held.wall() + wallAheadMs,
  });
  const stop = new AbortController();
  const logger = recordingLogger(lines);
  const metrics = PrometheusMetrics.create();
  const monitor = LoadMonitor.create({
    clock,
    repeat: repeatBy(clock),
    logger,
    metrics,
    utilization: () => 0,
  });
  const running = monitor.run(stop.signal);
  await held.advance(200);
  wallAheadMs = 2400;
  await held.advance(200);
  wallAheadMs = 0;
  await held.advance(200);
  assert.deepEqual(lines, [{ byMs: 2400 }]);
  stop.abort();
  await running;
});

test('a process that is held up logs it, and for how long', async () => {
  const lines: LogFields[] = [];
  const clock = SystemClock.create();
  const stop = new AbortController();
  const logger = recordingLogger(lines);
  const metrics = PrometheusMetrics.create();
  const utilization = () => 1;
  const monitor = LoadMonitor.create({ clock, repeat: systemRepeat, logger, metrics, utilization });
  const running = monitor.run(stop.signal);
  await clock.sleep(120);
  holdUp(400);
  await clock.sleep(1200);
  stop.abort();
  await running;
  const delayMs = Number(lines[0]!.delayMs);
  assert.ok(delayMs >= 349, `${delayMs} ms`);
});
