import assert from 'node:assert/strict';
import { test } from 'node:test';
import { DataCentreId, NodeId } from '@tanagercart/base';
import { encodeCommand } from '@tanagercart/state';
import { History } from '../src/index.js';

function nodeUp(n: number): Uint8Array {
  const node = { id: NodeId(`n${n}`), dataCentre: DataCentreId('north'), peer: '', entry: '' };
  return encodeCommand({ kind: 'node-up', node, incarnation: '1' });
}

/** A history that starts from a snapshot and keeps no commands before it. */
function createRestored(): History {
  const source = History.create();
  source.apply(1, nodeUp(1));
  const history = History.create();
  history.restore({ index: 1, bytes: source.state.snapshot() });
  return history;
}

test('followers that ask for a snapshot at the same index share one encoding', () => {
  const history = createRestored();
  const first = history.since(0).snapshot;
  assert.ok(first);
  assert.equal(history.since(0).snapshot, first);
});

test('a snapshot sent after a change contains the change', () => {
  const history = createRestored();
  history.since(0);
  history.apply(2, nodeUp(2));
  const later = History.create();
  later.restore(history.since(0).snapshot!);
  assert.equal(later.state.index, 2);
  assert.deepEqual([...later.state.nodes.keys()], ['n1', 'n2']);
});
