import assert from 'node:assert/strict';
import { test } from 'node:test';
import { NodeId } from '@tanagercart/base';
import type { Millis } from '@tanagercart/base';
import { Fleet, documentOf, startEntries } from './fleet.js';
import { httpMs, sendHeartbeats, upstreamCount, voters } from './hundreds.js';

/** Time from the start of a deployment until its upstreams hold layers. */
const startMs: Millis = 12_000;

test('a leader that places layers on hundreds of upstreams keeps its lease', async () => {
  const fleet = await Fleet.start(85, voters, { watch: 2.5, beat: 2.5 }, httpMs);
  const { clock } = fleet;
  fleet.upstreams.loadMs = 700;
  startEntries(fleet, 191);
  const beats = sendHeartbeats(fleet, startMs);
  void fleet.nodes.get(NodeId('b'))!.submit(documentOf(7));
  await clock.advance(3000);
  let without = 0;
  while (clock.now() < startMs) {
    await clock.advance(20);
    if (!fleet.leader) without += 20;
  }
  await beats;
  assert.equal(fleet.upstreams.layers.size, upstreamCount);
  assert.equal(without, 0, `without a lease for ${without} ms`);
});
