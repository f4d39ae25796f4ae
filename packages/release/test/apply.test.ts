import assert from 'node:assert/strict';
import { test } from 'node:test';
import { ModelId } from '@tanagercart/base';
import { Release, applyNote, parseNote } from '../src/index.js';

const firstNote = `
number = 1
author = "ops"
[[added.models]]
id = "fig"
layers = 8
versions = ["1"]
`;

const parse = (text: string) => parseNote(text)._unsafeUnwrap();
const firstRelease = () => applyNote(Release.empty(), parse(firstNote))._unsafeUnwrap();

test('a note adds its entries to the release', () => {
  assert.equal(firstRelease().models.get(ModelId('fig'))?.layers, 8);
});

test('adding a part that exists is an error that names the entry', () => {
  const again = applyNote(firstRelease(), parse(firstNote.replace('number = 1', 'number = 2')));
  assert.match(again._unsafeUnwrapErr()[0]!.entry, /added\.models "fig"/);
});

test('withdrawing a part that does not exist is an error', () => {
  const note = parse('number = 2\nauthor = "ops"\n[withdrawn]\nmodels = ["date"]');
  assert.match(applyNote(firstRelease(), note)._unsafeUnwrapErr()[0]!.message, /does not stand/);
});

test('an unknown key is an error', () => {
  assert.ok(parseNote(`${firstNote}\ncolour = "red"`).isErr());
});
