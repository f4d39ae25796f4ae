import assert from 'node:assert/strict';
import { test } from 'node:test';
import { HeldClock, UpstreamId, silentLogger } from '@tanagercart/base';
import { Sweeper } from '../src/index.js';
import { announcementOf } from './fleet.js';

function fixture() {
  const clock = HeldClock.create();
  const forgotten: (readonly UpstreamId[])[] = [];
  const sweeper = Sweeper.create({
    clock,
    logger: silentLogger,
    forget: async (ids) => {
      forgotten.push(ids);
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
  return { clock, sweeper, forgotten, records };
}

test('upstreams that are gone are forgotten together after a minute, others never', async () => {
  const { clock, sweeper, forgotten, records } = fixture();
  sweeper.step(records(25, 10));
  await clock.advance(59_000);
  sweeper.step(records(25, 10));
  assert.equal(forgotten.length, 0);
  await clock.advance(1000);
  sweeper.step(records(25, 10));
  await clock.advance(0);
  assert.deepEqual(
    forgotten.map((ids) => ids.length),
    [25],
  );
});

test('a few that are gone stay, as forgetting makes every entry learn the whole anew', async () => {
  const { clock, sweeper, forgotten, records } = fixture();
  sweeper.step(records(5, 1));
  await clock.advance(120_000);
  sweeper.step(records(5, 1));
  assert.equal(forgotten.length, 0);
});
