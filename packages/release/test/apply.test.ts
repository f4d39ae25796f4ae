import assert from 'node:assert/strict';
import { test } from 'node:test';
import { ModelId } from '@tanagercart/base';
import { Release, applyNote, parseNote } from '../src/index.js';

const first = `
number = 1
author = "ops"
[[added.models]]
id = "fig"
layers = 8
versions = ["1"]
`;

const read = (text: string) => parseNote(text)._unsafeUnwrap();
const one = () => applyNote(Release.empty(), read(first))._unsafeUnwrap();

test('a note adds what it lists', () => {
  assert.equal(one().models.get(ModelId('fig'))?.layers, 8);
});

test('adding what stands is an error that names the entry', () => {
  const again = applyNote(one(), read(first.replace('number = 1', 'number = 2')));
  assert.match(again._unsafeUnwrapErr()[0]!.entry, /added\.models "fig"/);
});

test('withdrawing what does not stand is an error', () => {
  const note = read('number = 2\nauthor = "ops"\n[withdrawn]\nmodels = ["date"]');
  assert.match(applyNote(one(), note)._unsafeUnwrapErr()[0]!.message, /does not stand/);
});

test('an unknown key is an error', () => {
  assert.ok(parseNote(`${first}\ncolour = "red"`).isErr());
});
