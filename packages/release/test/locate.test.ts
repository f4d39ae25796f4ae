import assert from 'node:assert/strict';
import { test } from 'node:test';
import { Locator, parseNote } from '../src/index.js';

const text = `number = 1 # first
author = "ops"
[[added.models]]
id = "fig"
versions = [
  "1",
  "2", # newest
]
[[added.models]]
id = 'date'
layers = 0
[[added.priceLists]]
id = "trays"
[[added.priceLists.tiers]]
id = "now"
[[added.priceLists.tiers]]
id = "later"
[withdrawn]
models = ["plum",
  "quince"]
`;

test('lines are found for entries with a name, an index or a key', () => {
  const locator = Locator.create(text);
  const found = [
    'added.models "fig"',
    'added.models "date"',
    'added.models[1].layers',
    'added.models[0].versions[1]',
    'added.priceLists "trays".tiers[1]',
    'withdrawn.models "quince"',
    'added.models[1].colour',
    'nothing',
  ].map((entry) => locator.lineOf(entry));
  assert.deepEqual(found, [3, 9, 11, 7, 16, 20, 9, 0]);
});

test('a problem with the shape of an entry has its line', () => {
  const problems = parseNote(text)._unsafeUnwrapErr();
  const layers = problems.find((p) => p.entry === 'added.models[1].layers');
  assert.equal(layers?.line, 11);
});
