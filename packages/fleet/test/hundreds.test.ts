import assert from 'node:assert/strict';
import { test } from 'node:test';
import { NodeId } from '@tanagercart/base';
import type { Millis } from '@tanagercart/base';
import type { FleetView } from '../src/index.js';
import { Fleet, documentOf, startEntries } from './fleet.js';
import { heartbeatMs, httpMs, sendHeartbeats, voters } from './hundreds.js';

/** Time within which operators wait for an acknowledgement. */
const ackMs: Millis = 6000;

/** Starts entries that follow the leader. */
function startFollowers(fleet: Fleet, count: number) {
  return Array.from({ length: count }, (_, i) => {
    const node = NodeId(`entry-${i}`);
    return [node, fleet.startEntry(node)] as const;
  });
}

/** Number of upstreams that an entry is told to avoid. */
function excludedBy(view: FleetView): number {
  const records = [...view.upstreams.values()];
  return records.filter((r) => view.suspectedAt(r) !== undefined).length;
}

test('no entry of a fleet of hundreds is silenced by a leader that is busy with heartbeats', async () => {
  const fleet = await Fleet.start(81, voters, { watch: 2.5, beat: 2.5 }, httpMs);
  const views = startEntries(fleet, 191);
  const settled = sendHeartbeats(fleet, 24_000);
  await fleet.clock.advance(3000);
  const submittedAt = fleet.clock.now();
  let ackedAt: Millis | undefined;
  void fleet.nodes
    .get(NodeId('b'))!
    .submit(documentOf(7))
    .then(() => {
      ackedAt = fleet.clock.now();
    });
  await fleet.clock.advance(8000);
  assert.ok(
    ackedAt !== undefined && ackedAt - submittedAt < ackMs,
    'the first document is acknowledged',
  );
  let silenced = 0;
  let samples = 0;
  for (let i = 0; i < 200; i += 1) {
    await fleet.clock.advance(50);
    for (const view of views.values()) {
      samples += 1;
      if (!view.isCurrent) silenced += 1;
    }
  }
  assert.equal(silenced, 0, `${silenced} of ${samples} samples`);
  const worst = await settled;
  const late = [...worst].filter(([, ms]) => ms > 3 * heartbeatMs);
  assert.deepEqual(late.slice(0, 5), []);
});

/** Time after all machines are back from which on requests have to be served. */
const recoverMs: Millis = 15_000;

/**
 * Cuts the power of all voters and entries of a fleet in service, and starts them again; returns the
 * views of the entries.
 */
async function losePower(fleet: Fleet): Promise<readonly FleetView[]> {
  const entries = startFollowers(fleet, 191);
  void sendHeartbeats(fleet, 32_000);
  await fleet.clock.advance(3000);
  const [first] = fleet.nodes.values();
  void first!.submit(documentOf(7));
  await fleet.clock.advance(12_000);
  const nodes = voters.map(NodeId);
  for (const id of nodes) fleet.kill(id);
  for (const [, { stop }] of entries) stop();
  await fleet.clock.advance(1200);
  for (const id of nodes) fleet.startNode(id);
  return startFollowers(fleet, 191).map(([, { view }]) => view);
}

const isServing = (view: FleetView) => view.isCurrent && view.document.version === 7;

test('a fleet of hundreds serves again soon after all of its machines lost power', async () => {
  const fleet = await Fleet.start(82, voters, { watch: 2.5, beat: 2.5 }, httpMs);
  const restarted = await losePower(fleet);
  await fleet.clock.advance(recoverMs);
  const ready = restarted.filter(isServing);
  assert.equal(ready.length, 191);
  assert.equal(Math.max(...ready.map(excludedBy)), 0);
});

/** Time after which users count a machine as in touch, once the voters are stable again. */
const contactMs: Millis = 5000;

test('entries that all start at once are in service before users count them as in touch', async () => {
  const fleet = await Fleet.start(83, voters, { watch: 2.5, beat: 2.5, record: 0.05 }, httpMs);
  const restarted = await losePower(fleet);
  await fleet.clock.advance(contactMs);
  assert.equal(restarted.filter(isServing).length, 191);
});

test('replies that are late with the whole state are not thrown away and asked for again', async () => {
  const fleet = await Fleet.start(84, voters, { watch: 2.5, beat: 2.5, whole: 25 }, httpMs);
  const restarted = await losePower(fleet);
  await fleet.clock.advance(recoverMs);
  assert.equal(restarted.filter(isServing).length, 191);
});
