import assert from 'node:assert/strict';
import { test } from 'node:test';
import { DataCentreId, HeldClock, NodeId, UpstreamId } from '@tanagercart/base';
import type { Suspicion } from '@tanagercart/protocol';
import { Roster } from '../src/index.js';
import { announcementOf } from './fleet.js';

const u1 = UpstreamId('u1');

function fixture() {
  const clock = HeldClock.create();
  const roster = Roster.create(clock, 1000);
  let sequence = 0;
  const beat = () => {
    sequence += 1;
    roster.hearUpstream(announcementOf('u1', { sequence }));
  };
  const tell = (name: string, suspicions: readonly Suspicion[]) => {
    const node = NodeId(name);
    const dataCentre = DataCentreId('north');
    const entry = { node, dataCentre, address: `${name}:1`, phase: 'ready' } as const;
    const rest = { loads: [], since: 0, documentVersion: 0, waitMs: 0 };
    return roster.hearEntry(node, { entry, suspicions, ...rest });
  };
  return { clock, roster, beat, tell };
}

const failed: readonly Suspicion[] = [{ id: u1, born: 1, ageMs: 0 }];

test('a heartbeat ends a suspicion', async () => {
  const { clock, roster, beat, tell } = fixture();
  tell('a', failed);
  assert.equal(roster.suspectedBy(u1, 1), 1);
  tell('b', failed);
  assert.equal(roster.suspectedBy(u1, 1), 2);
  await clock.advance(100);
  beat();
  assert.equal(roster.suspectedBy(u1, 1), 0);
});

test('an upstream that fails again and again is unfit though its heartbeats come', async () => {
  const { clock, roster, beat, tell } = fixture();
  for (let i = 0; i < 3; i += 1) {
    assert.equal(roster.isUnfit(u1, 1), false);
    tell(i % 2 === 0 ? 'a' : 'b', failed);
    await clock.advance(1000);
    beat();
  }
  assert.equal(roster.isUnfit(u1, 1), true);
  assert.equal(roster.isUnfit(u1, 2), false, 'another incarnation is judged by itself');
  assert.deepEqual(roster.suspicions, [{ id: u1, born: 1, ageMs: 0 }]);
  await clock.advance(20_000);
  assert.equal(roster.isUnfit(u1, 1), false, 'it is tried again after some time');
});

test('one failure that several entries tell counts once', () => {
  const { roster, tell } = fixture();
  for (const name of ['a', 'b', 'c', 'd']) tell(name, failed);
  assert.equal(roster.isUnfit(u1, 1), false);
});

test('a suspicion that a third entry shares is no news: it changes nothing', () => {
  const { roster, tell } = fixture();
  for (const name of ['a', 'b', 'c', 'd']) tell(name, []);
  const news = ['a', 'b', 'c', 'd'].map((name) => tell(name, failed));
  assert.deepEqual(news, [true, true, false, false]);
  assert.equal(roster.suspectedBy(u1, 1), 4);
});
