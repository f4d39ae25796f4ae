import assert from 'node:assert/strict';
import { test } from 'node:test';
import { DataCentreId, HeldClock, NodeId, SeededRandom, silentLogger } from '@tanagercart/base';
import { MemoryNetwork } from '@tanagercart/protocol';
import { ConfigurationLease, Feed, History, defaultLeaseTiming, follow } from '../src/index.js';

const self = NodeId('a');

function fixture(leaseMs: () => number) {
  const clock = HeldClock.create();
  const transport = MemoryNetwork.create(clock, SeededRandom.create(1)).attach(self);
  const history = History.create();
  const lease = ConfigurationLease.create(clock);
  const source = { leaseMs, upTo: () => history.state.index, parent: () => self };
  Feed.create(transport, history, source, clock, defaultLeaseTiming);
  const options = {
    self: { id: self, dataCentre: DataCentreId('north'), peer: '', entry: '' },
    incarnation: '1',
    transport,
    history,
    lease,
    clock,
    timing: defaultLeaseTiming,
    logger: silentLogger,
    draining: () => false,
    seeds: () => [self],
  };
  return { clock, lease, options };
}

test('a leader that cannot give leases yet is asked again after a pause', async () => {
  let leaseMs = 0;
  const f = fixture(() => leaseMs);
  const stop = new AbortController();
  const done = follow(f.options, stop.signal);
  await f.clock.advance(500);
  assert.equal(f.lease.valid, false);
  leaseMs = 2000;
  await f.clock.advance(500);
  assert.equal(f.lease.valid, true);
  stop.abort();
  await f.clock.advance(500);
  await done;
});
