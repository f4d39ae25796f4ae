import assert from 'node:assert/strict';
import { test } from 'node:test';
import { HeldClock, UpstreamId, silentLogger } from '@tanagercart/base';
import { TombstoneCollector } from '../src/index.js';
import { announcementOf } from './fleet.js';

function fixture() {
  const clock = HeldClock.create();
  const removed: (readonly UpstreamId[])[] = [];
  const collector = TombstoneCollector.create({
    clock,
    logger: silentLogger,
    forget: async (ids) => {
      removed.push(ids);
      return true;
    },
  });
  const records = (gone: number, ready: number) =>
    new Map(
      Array.from({ length: gone + ready }, (_, i) => {
        const phase = i < gone ? 'gone' : 'ready';
        return [UpstreamId(`u${i}`), announcementOf(`u${i}`, { phase })] as const;
      }),
    );
  return { clock, collector, removed, records };
}

test('records of gone upstreams are removed together after a minute, others are kept', async () => {
  const { clock, collector, removed, records } = fixture();
  collector.collect(records(25, 10));
  await clock.advance(59_000);
  collector.collect(records(25, 10));
  assert.equal(removed.length, 0);
  await clock.advance(1000);
  collector.collect(records(25, 10));
  await clock.advance(0);
  assert.deepEqual(
    removed.map((ids) => ids.length),
    [25],
  );
});

test('a few records are kept, as a removal sends every entry the whole state', async () => {
  const { clock, collector, removed, records } = fixture();
  collector.collect(records(5, 1));
  await clock.advance(120_000);
  collector.collect(records(5, 1));
  assert.equal(removed.length, 0);
});
