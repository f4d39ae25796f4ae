import assert from 'node:assert/strict';
import { test } from 'node:test';
import { DataCentreId, NodeId, ServiceId } from '@tanagercart/base';
import { decode } from '@tanagercart/protocol';
import type {
  Bulletin,
  CompactBulletin,
  EntryRecord,
  WatchCall,
  WatchReply,
} from '@tanagercart/protocol';
import { Fleet } from './fleet.js';

const entry: EntryRecord = {
  node: NodeId('old'),
  dataCentre: DataCentreId('north'),
  address: 'old:1',
  phase: 'ready',
};

/** The bulletin that the leader sends to a caller that names this revision. */
async function bulletinFor(
  fleet: Fleet,
  entriesRevision?: string,
  overrides: Partial<WatchCall> = {},
) {
  const [leader] = [...fleet.nodes].find(([, n]) => n === fleet.leader)!;
  const state = { loads: [], suspicions: [], since: 0, documentVersion: 0, waitMs: 0 };
  const call = {
    entry,
    ...state,
    ...(entriesRevision === undefined ? {} : { entriesRevision }),
    ...overrides,
  };
  const sent = fleet.network.attach(NodeId('old')).call(leader, 'watch', call, { timeoutMs: 1000 });
  const reply = (await fleet.settle(sent))._unsafeUnwrap() as Extract<
    WatchReply,
    { kind: 'update' }
  >;
  return decode<Bulletin | CompactBulletin>(reply.bulletin);
}

test('an entry of an earlier version receives the bulletin in the form that it knows', async () => {
  const fleet = await Fleet.start(73);
  const bulletin = await bulletinFor(fleet);
  assert.ok('loads' in bulletin && !('loadRows' in bulletin));
  assert.deepEqual(bulletin.entries, [entry]);
});

test('the list of entries is sent to those that lack it only', async () => {
  const fleet = await Fleet.start(74);
  const first = (await bulletinFor(fleet, '')) as CompactBulletin;
  assert.deepEqual(first.entries, [entry]);
  const second = (await bulletinFor(fleet, first.entriesRevision)) as CompactBulletin;
  assert.equal(second.entries, undefined);
  const { view } = fleet.startEntry(NodeId('e2'));
  await fleet.waitUntil(() => view.entries.length === 2);
  const third = (await bulletinFor(fleet, first.entriesRevision)) as CompactBulletin;
  assert.equal(third.entries?.length, 2);
  await fleet.waitUntil(() => view.entries.length === 1, 4000);
});

test('the demand that an entry reports reaches the entries, in each form of the bulletin', async () => {
  const fleet = await Fleet.start(75);
  const demand = [{ service: ServiceId('pool'), tokensPerSecond: [40, 0, 2] }];
  const expected = { reporters: 1, services: demand };
  const compact = await bulletinFor(fleet, '', { demand });
  assert.deepEqual(compact.demand, expected);
  const full = await bulletinFor(fleet, undefined, { demand });
  assert.deepEqual(full.demand, expected);
});
