import assert from 'node:assert/strict';
import { test } from 'node:test';
import { deltaOf } from '@tanagercart/config';
import { decompressDocument, decompressState } from '@tanagercart/protocol';
import type { UpstreamRecord } from '@tanagercart/protocol';
import { FleetState, encodeCommand } from '../src/index.js';
import type { ChangeScope } from '../src/index.js';
import { announcementOf } from './fleet.js';

/** A document with `routes` routes that differ only in name and path. */
function textOf(version: number, routes: number): string {
  const route = (i: number) => ({
    name: `r-${i}`,
    host: 'figs.example',
    pathPrefix: `/advice-${i}/`,
    kind: 'streaming',
    timeoutMs: 20_000,
    latencyGoalMs: 500,
    priority: 1,
    service: 'pool',
    maxAttempts: 2,
  });
  return JSON.stringify({ version, routes: Array.from({ length: routes }, (_, i) => route(i)) });
}

/** A state that has applied the given documents in order, as versions 1, 2 and so on. */
function stateWith(...texts: readonly string[]): FleetState {
  const state = FleetState.create();
  let base = { version: 0, text: '' };
  texts.forEach((text, i) => {
    const version = i + 1;
    const delta = deltaOf(base.text, text);
    const command = { kind: 'document', version, base: base.version, delta } as const;
    state.apply(i + 1, encodeCommand(command));
    base = { version, text };
  });
  return state;
}

test('an update with many new routes is small and packed once for all entries', () => {
  const large = textOf(2, 1500);
  const state = stateWith(textOf(1, 50), large);
  const update = state.documentUpdate(1)!;
  // A leader with 170 Mbit/s has to send it to 100 entries within a tenth of a second.
  assert.ok(update.length < (170e6 / 8 / 100) * 0.1, `${update.length} of ${large.length} bytes`);
  assert.equal(state.documentUpdate(1), update);
  assert.equal(decompressDocument(update).kind, 'delta');
  const whole = decompressDocument(state.documentUpdate(0)!);
  assert.deepEqual(whole, { kind: 'whole', version: 2, text: large });
  assert.equal(state.documentUpdate(2), undefined);
});

test('an update always leads to the document in force', () => {
  const state = stateWith(textOf(1, 5), textOf(2, 6));
  state.documentUpdate(1);
  const text = textOf(3, 7);
  const delta = deltaOf(textOf(2, 6), text);
  state.apply(3, encodeCommand({ kind: 'document', version: 3, base: 2, delta }));
  assert.equal(decompressDocument(state.documentUpdate(1)!).version, 3);
  assert.equal(decompressDocument(state.documentUpdate(2)!).version, 3);
});

test('the whole state is packed once for all entries, until it changes', () => {
  const state = FleetState.create();
  const records = ['u1', 'u2'].map((id) => announcementOf(id));
  state.apply(1, encodeCommand({ kind: 'upstreams', records }));
  const { packedState } = state;
  assert.equal(state.packedState, packedState);
  assert.deepEqual(
    decompressState(packedState).upstreams.map((u) => u.id),
    ['u1', 'u2'],
  );
  state.apply(2, encodeCommand({ kind: 'barrier' }));
  assert.equal(state.packedState, packedState);
  state.apply(3, encodeCommand({ kind: 'upstreams', records: [announcementOf('u3')] }));
  assert.equal(decompressState(state.packedState).upstreams.length, 3);
});

const layers = { from: 2, to: 6 };
const ready = announcementOf('u1');

/** The record of `u1` after commands, each of which holds one record and its scope. */
function recordAfter(...changes: readonly (UpstreamRecord & { scope?: ChangeScope })[]) {
  const state = FleetState.create();
  changes.forEach((change, i) => {
    state.apply(i + 1, encodeCommand({ kind: 'upstreams', records: [change] }));
  });
  const record = state.upstreams.get(ready.id);
  return record && { phase: record.phase, layers: record.layers, slots: record.slots };
}

// Guards against a record that is written from a copy, and takes the word of an upstream back.
test('no command takes an upstream back to an earlier phase of its incarnation', () => {
  for (const scope of ['all', 'all-but-layers', 'phase', 'layers', undefined] as const) {
    const stale = { ...ready, ...(scope && { scope }) };
    assert.equal(recordAfter(ready, { ...ready, phase: 'gone' }, stale)?.phase, 'gone');
    assert.equal(recordAfter(ready, { ...ready, phase: 'draining' }, stale)?.phase, 'draining');
  }
  assert.equal(recordAfter({ ...ready, phase: 'gone' }, { ...ready, born: 2 })?.phase, 'ready');
});

test('a command changes only what it says of a record', () => {
  const current = { ...ready, layers, slots: 3 };
  const stale = { ...ready, phase: 'draining' as const };
  assert.deepEqual(recordAfter(current, { ...stale, scope: 'phase' }), {
    phase: 'draining',
    layers,
    slots: 3,
  });
  assert.deepEqual(recordAfter({ ...ready, slots: 3 }, { ...stale, layers, scope: 'layers' }), {
    phase: 'ready',
    layers,
    slots: 3,
  });
  assert.deepEqual(recordAfter(current, { ...stale, scope: 'all-but-layers' }), {
    phase: 'draining',
    layers,
    slots: 8,
  });
});

test('a change of a part of a record neither adds one nor alters another incarnation', () => {
  for (const scope of ['phase', 'layers'] as const) {
    assert.equal(recordAfter({ ...ready, scope }), undefined);
    const later = { ...ready, born: 2, layers };
    assert.deepEqual(recordAfter(later, { ...ready, phase: 'gone', scope }), recordAfter(later));
    const restarted = { ...ready, born: 3, phase: 'gone' as const, scope };
    assert.deepEqual(recordAfter(later, restarted), recordAfter(later));
  }
});

// Guards against an upstream that came back between the proposal and its commit.
test('a removal spares an upstream that is not gone', () => {
  const state = FleetState.create();
  state.apply(1, encodeCommand({ kind: 'upstreams', records: [ready] }));
  state.apply(2, encodeCommand({ kind: 'forget', upstreams: [ready.id] }));
  assert.equal(state.upstreams.size, 1);
  state.apply(3, encodeCommand({ kind: 'upstreams', records: [{ ...ready, phase: 'gone' }] }));
  state.apply(4, encodeCommand({ kind: 'forget', upstreams: [ready.id] }));
  assert.equal(state.upstreams.size, 0);
});
