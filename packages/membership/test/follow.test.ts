import assert from 'node:assert/strict';
import { test } from 'node:test';
import { DataCentreId, HeldClock, NodeId, SeededRandom, silentLogger } from '@tanagercart/base';
import { MemoryNetwork } from '@tanagercart/protocol';
import {
  ConfigurationLease,
  Feed,
  History,
  KnownVoters,
  NodeLoads,
  TreePosition,
  Subtree,
  defaultLeaseTiming,
  follow,
} from '../src/index.js';

const self = NodeId('a');
const parent = NodeId('b');
const timing = defaultLeaseTiming;

function fixture(leads: () => boolean) {
  const clock = HeldClock.create();
  const net = MemoryNetwork.create(clock, SeededRandom.create(1));
  const none = { isLeader: () => false, leader: () => undefined };
  const own = { history: History.create(), lease: ConfigurationLease.create(clock), clock, timing };
  const position = TreePosition.create(clock, { isLeader: leads, leader: () => parent });
  const loads = NodeLoads.create({ self, history: own.history, clock, own: () => 0 });
  const voters = KnownVoters.create(
    () => [parent],
    () => undefined,
  );
  const transport = net.attach(parent);
  const history = History.create();
  Feed.create({ ...own, self: parent, transport, position, history, loads, voters });
  const options = {
    ...own,
    loads,
    voters,
    self: () => ({ id: self, dataCentre: DataCentreId('north'), peer: '', entry: '' }),
    incarnation: '1',
    transport: net.attach(self),
    position: TreePosition.create(clock, none),
    subtree: Subtree.create(clock, timing),
    logger: silentLogger,
    draining: () => false,
    seeds: () => [parent],
  };
  return { clock, lease: own.lease, options };
}

test('a leader that cannot give leases yet is asked again after a pause', async () => {
  let leads = false;
  const f = fixture(() => leads);
  const stop = new AbortController();
  const done = follow(f.options, stop.signal);
  await f.clock.advance(500);
  assert.equal(f.lease.valid, false);
  leads = true;
  await f.clock.advance(500);
  assert.equal(f.lease.valid, true);
  stop.abort();
  await f.clock.advance(500);
  await done;
});
