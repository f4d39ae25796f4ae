import assert from 'node:assert/strict';
import { test } from 'node:test';
import { DataCentreId, NodeId, SeededRandom, ServiceId, UpstreamId } from '@tanagercart/base';
import { SharedState } from '@tanagercart/state';
import type { Command } from '@tanagercart/state';
import { Assignment, rankOwners } from '../src/index.js';

const dataCentres = ['north', 'east', 'west'];
const self = NodeId('n0');

function nodeUp(n: number): Command {
  const dataCentre = DataCentreId(dataCentres[n % dataCentres.length]!);
  const node = { id: NodeId(`n${n}`), dataCentre, peer: '', entry: '' };
  return { kind: 'node-up', node, incarnation: '1' };
}

/** Some of the upstreams are in a data centre without nodes. */
function upstreamUp(n: number): Command {
  const role = { kind: 'service', service: ServiceId('orders') } as const;
  const dataCentre = [...dataCentres, 'nowhere'][n % 4]!;
  const upstream = { id: UpstreamId(`u${n}`), incarnation: '1', url: '', dataCentre, role };
  return { kind: 'upstream-up', upstream };
}

function nodeDown(n: number): Command {
  return { kind: 'node-down', node: NodeId(`n${n}`), incarnation: '1', stopped: false };
}

function upstreamDown(n: number): Command {
  return { kind: 'upstream-down', upstream: UpstreamId(`u${n}`), incarnation: '1', left: false };
}

test('each upstream is watched by its first owner after every change of nodes or upstreams', () => {
  const random = SeededRandom.create(3);
  const state = SharedState.create();
  const assignment = Assignment.create(self, () => state);
  const kinds = [nodeUp, nodeDown, upstreamUp, upstreamDown];
  const change = () => {
    const kind = kinds[Math.floor(random.next() * kinds.length)]!;
    return kind(Math.floor(random.next() * 30));
  };
  let assigned = 0;
  for (let index = 1; index <= 500; index += 1) {
    state.apply(index, change());
    const expected = [...state.upstreams.values()].filter((u) => {
      const [first] = rankOwners(state, u.id, u.dataCentre);
      assert.equal(assignment.watcherOf(u), first);
      return first === self;
    });
    assert.deepEqual(assignment.watched, expected);
    assigned += expected.length;
  }
  assert.ok(assigned > 0);
});

test('the upstreams are not iterated again while nothing changes', () => {
  const state = SharedState.create();
  [nodeUp(0), upstreamUp(0), upstreamUp(1)].forEach((c, i) => state.apply(i + 1, c));
  const iterations = { upstreams: 0 };
  const upstreams = new Map(state.upstreams);
  const values = upstreams.values.bind(upstreams);
  upstreams.values = () => {
    iterations.upstreams += 1;
    return values();
  };
  const { nodes, view, rosterVersion } = state;
  const assignment = Assignment.create(self, () => ({ nodes, view, rosterVersion, upstreams }));
  for (let i = 0; i < 10; i += 1) assert.equal(assignment.watched.length, 2);
  assert.equal(iterations.upstreams, 1);
});
