import assert from 'node:assert/strict';
import { test } from 'node:test';
import { DataCentreId, HeldClock, NodeId, SeededRandom, silentLogger } from '@tanagercart/base';
import { MemoryNetwork } from '@tanagercart/protocol';
import {
  ConfigurationLease,
  FollowServer,
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

function createFixture(isLeader: () => boolean) {
  const clock = HeldClock.create();
  const net = MemoryNetwork.create(clock, SeededRandom.create(1));
  const leadership = { isLeader: () => false, leader: () => undefined };
  const shared = {
    history: History.create(),
    lease: ConfigurationLease.create(clock),
    clock,
    timing,
  };
  const position = TreePosition.create(clock, { isLeader, leader: () => parent });
  const loads = NodeLoads.create({ self, history: shared.history, clock, ownLoad: () => 0 });
  const voters = KnownVoters.create(
    () => [parent],
    () => undefined,
  );
  const transport = net.attach(parent);
  const history = History.create();
  FollowServer.create({ ...shared, self: parent, transport, position, history, loads, voters });
  const options = {
    ...shared,
    loads,
    voters,
    self: () => ({ id: self, dataCentre: DataCentreId('north'), peer: '', entry: '' }),
    incarnation: '1',
    transport: net.attach(self),
    position: TreePosition.create(clock, leadership),
    subtree: Subtree.create(clock, timing),
    logger: silentLogger,
    draining: () => false,
    seeds: () => [parent],
  };
  return { clock, lease: shared.lease, options };
}

test('a leader that cannot grant leases yet is called again after a pause', async () => {
  let isLeader = false;
  const f = createFixture(() => isLeader);
  const stop = new AbortController();
  const done = follow(f.options, stop.signal);
  await f.clock.advance(500);
  assert.equal(f.lease.valid, false);
  isLeader = true;
  await f.clock.advance(500);
  assert.equal(f.lease.valid, true);
  stop.abort();
  await f.clock.advance(500);
  await done;
});
