import assert from 'node:assert/strict';
import { test } from 'node:test';
import { HeldClock, silentLogger } from '@tanagercart/base';
import type { UpstreamRecord } from '@tanagercart/protocol';
import { SlownessMonitor } from '../src/index.js';
import { FakeUpstreams, announcementOf } from './fleet.js';

test('the leader of a new term does not poll all upstreams at once', async () => {
  const clock = HeldClock.create();
  const upstreams = new FakeUpstreams(clock);
  const polled: string[] = [];
  const report = (upstream: UpstreamRecord) => {
    polled.push(upstream.id);
    return upstreams.report(upstream);
  };
  const monitor = SlownessMonitor.create({ orders: { report }, clock, logger: silentLogger });
  const records = Array.from({ length: 100 }, (_, i) => announcementOf(`u${i}`));
  for (let pass = 0; pass < 20; pass += 1) {
    await clock.advance(100);
    const before = polled.length;
    monitor.poll(records);
    assert.ok(polled.length - before <= 5, `${polled.length - before} polls at once`);
  }
  assert.equal(new Set(polled).size, 100);
  for (let pass = 0; pass < 20; pass += 1) {
    await clock.advance(100);
    monitor.poll(records);
  }
  assert.equal(polled.length, 200);
});
