import assert from 'node:assert/strict';
import { test } from 'node:test';
import { ok } from 'neverthrow';
import { HeldClock, ModelId, UpstreamId, digestOf, silentLogger } from '@tanagercart/base';
import { SharedState } from '@tanagercart/state';
import type { Command, Proposer } from '@tanagercart/state';
import { maintainReplicas } from '../src/index.js';

const model = { id: ModelId('fig'), layers: 4, versions: ['1'], adapters: [] };

function setUp() {
  const clock = HeldClock.create();
  const state = SharedState.create();
  const plans: Command[] = [];
  const apply = (command: Command) => state.apply(state.index + 1, command);
  const none = { priceLists: [], clientAccounts: [], models: [], services: [] };
  const added = { ...none, models: [model] };
  const note = { number: 1, author: 'op', added, changed: none, withdrawn: none };
  apply({ kind: 'accept-release', note, digest: digestOf('1'), at: 0 });
  const propose = async (command: Command) => {
    plans.push(command);
    return ok({ index: state.index + 1, outcome: apply(command) });
  };
  const proposer = { propose } as unknown as Proposer;
  const stop = new AbortController();
  const isLeader = () => true;
  void maintainReplicas({ state, proposer, clock, logger: silentLogger, isLeader }, stop.signal);
  const announce = (i: number) => {
    const held = { model: model.id, versions: ['1'], adapters: [], from: 0, to: 4 };
    const stage = { ...held, accelerator: 'a', tokensPerSecond: 10, slots: 1 };
    const id = UpstreamId(`u${i}`);
    const role = { kind: 'stage', stage } as const;
    const upstream = { id, incarnation: '1', url: '', dataCentre: 'north', role };
    apply({ kind: 'upstream-up', upstream });
  };
  return { clock, state, plans, announce, stop };
}

test('stages that start shortly after one another are planned once', async () => {
  const { clock, state, plans, announce, stop } = setUp();
  for (let i = 0; i < 5; i += 1) {
    announce(i);
    await clock.advance(100);
  }
  assert.equal(plans.length, 0);
  await clock.advance(500);
  assert.deepEqual([plans.length, state.replicas.size], [1, 5]);
  stop.abort();
});

test('continuing changes delay a plan by at most a second', async () => {
  const { clock, plans, announce, stop } = setUp();
  for (let i = 0; i < 15; i += 1) {
    announce(i);
    await clock.advance(100);
  }
  assert.equal(plans.length, 1);
  stop.abort();
});
