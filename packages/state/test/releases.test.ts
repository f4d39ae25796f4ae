import assert from 'node:assert/strict';
import { test } from 'node:test';
import { ModelId } from '@tanagercart/base';
import { digestOfNote } from '@tanagercart/release';
import type { Model, ReleaseNote } from '@tanagercart/release';
import { ReleaseTable } from '../src/index.js';

const noParts = { priceLists: [], clientAccounts: [], models: [], services: [] };
const model = (name: string): Model => ({
  id: ModelId(name),
  layers: 4,
  versions: ['1'],
  adapters: [],
});
const note = (number: number, name = `m${number}`): ReleaseNote => ({
  number,
  author: 'ops',
  added: { ...noParts, models: [model(name)] },
  changed: noParts,
  withdrawn: noParts,
});
const submit = (t: ReleaseTable, index: number, n: ReleaseNote) =>
  t.apply(index, { kind: 'accept-release', note: n, digest: digestOfNote(n), at: 0 });

test('the second of two notes with one number conflicts and gets the digest in force', () => {
  const t = ReleaseTable.create();
  submit(t, 5, note(1, 'fig'));
  assert.deepEqual(submit(t, 6, note(1, 'date')), {
    kind: 'release-conflict',
    number: 1,
    inForce: digestOfNote(note(1, 'fig')),
  });
});

test('a resent note gets its first outcome, also after later notes', () => {
  const t = ReleaseTable.create();
  submit(t, 5, note(1));
  submit(t, 6, note(2));
  const again = submit(t, 9, note(1));
  assert.deepEqual(again, { kind: 'release-accepted', number: 1, index: 5, resend: true });
  assert.equal(t.current.number, 2);
});

test('the history is bounded, and a note resent within it gets its first outcome', () => {
  const t = ReleaseTable.create();
  for (let i = 1; i <= 4200; i += 1) submit(t, i, { ...note(i), added: noParts });
  assert.equal(t.accepted.length, 4096);
  assert.equal(t.note(4184), undefined);
  assert.equal(t.note(4185)?.number, 4185);
  const again = submit(t, 9000, { ...note(105), added: noParts });
  assert.deepEqual(again, { kind: 'release-accepted', number: 105, index: 105, resend: true });
  assert.equal(submit(t, 9001, { ...note(104), added: noParts }).kind, 'release-conflict');
});
