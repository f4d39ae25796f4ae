import assert from 'node:assert/strict';
import { test } from 'node:test';
import { digestOf } from '@tanagercart/base';
import {
  Release,
  applyNote,
  differenceOf,
  digestOfNote,
  parseNote,
  withLineNumbers,
} from '../src/index.js';

const tier = (id: string) => `[[added.priceLists.tiers]]
id = "${id}"
urgency = 1
price = 2
firstTokenMs = 500
tokenGapMs = 80
concurrency = 8
requestsPerSecond = 10
tokensPerSecond = 900
`;
const list = (id: string, ...tiers: string[]) =>
  `[[added.priceLists]]\nid = "${id}"\n${tiers.map(tier).join('')}`;
const account = (id: string, priceList: string, key = id) =>
  `[[added.clientAccounts]]\nid = "${id}"\npriceList = "${priceList}"\ndefaultTier = "now"\nkeyDigest = "${digestOf(key)}"\n`;
const text = (number: number, ...parts: string[]) =>
  `number = ${number}\nauthor = "ops"\n${parts.join('')}`;
const changed = (part: string) => part.replaceAll('[[added.', '[[changed.');
const parse = (t: string) => parseNote(t)._unsafeUnwrap();
const firstRelease = () =>
  applyNote(
    Release.empty(),
    parse(text(1, list('trays', 'now', 'later'), list('spare', 'now'), account('grower', 'trays'))),
  )._unsafeUnwrap();

/** The problems of a note that is applied to `firstRelease`, as `line entry: message`. */
function problems(...parts: string[]): readonly string[] {
  const t = text(2, ...parts);
  const applied = applyNote(firstRelease(), parse(t));
  return applied.match(
    () => [],
    (found) => withLineNumbers(t, found).map((p) => `${p.line} ${p.entry}: ${p.message}`),
  );
}

test('withdrawing a price list in use is reported with the entry, the line and the account', () => {
  assert.deepEqual(problems('[withdrawn]\npriceLists = ["trays"]\n'), [
    '4 withdrawn.priceLists "trays": is still used by account "grower"',
  ]);
  assert.deepEqual(problems('[withdrawn]\npriceLists = ["spare"]\n'), []);
});

test('a price list can be withdrawn together with its last account', () => {
  const both = '[withdrawn]\npriceLists = ["trays"]\nclientAccounts = ["grower"]\n';
  assert.deepEqual(problems(both), []);
  assert.deepEqual(
    problems(changed(account('grower', 'spare')), '[withdrawn]\npriceLists = ["trays"]\n'),
    [],
  );
});

test('a tier that an account uses cannot be removed from its price list', () => {
  assert.deepEqual(problems(changed(list('trays', 'later'))), [
    '3 changed.priceLists "trays": tier "now" is still used by account "grower"',
  ]);
  assert.deepEqual(problems(changed(list('trays', 'now'))), []);
});

test('an account needs an existing price list and a key that no other account has', () => {
  assert.deepEqual(problems(account('buyer', 'none'), account('clerk', 'trays', 'grower')), [
    '5 added.clientAccounts "buyer".priceList: price list "none" does not stand',
    '12 added.clientAccounts "clerk".keyDigest: account "grower" has the same key',
  ]);
});

test('entries that are listed twice are errors', () => {
  const found = problems(list('a', 'now', 'now'), list('b', 'now'), list('b', 'now'));
  assert.match(found[0]!, /"b": is listed more than once/);
  assert.match(found[1]!, /"a"\.tiers\[1\]: tier "now" is listed more than once/);
});

test('the digest does not depend on the order of entries', () => {
  const digest = (...parts: string[]) => digestOfNote(parse(text(1, ...parts)));
  const [a, b] = [list('a', 'now'), list('b', 'now')];
  assert.equal(digest(a, b), digest(b, a));
  assert.notEqual(digest(a, b), digest(a));
});

test('a difference lists the keys that change', () => {
  const note = parse(text(2, changed(account('grower', 'spare', 'new key'))));
  const [change] = differenceOf(firstRelease(), note);
  assert.deepEqual(
    change?.keys.map((k) => k.key),
    ['priceList', 'keyDigest'],
  );
});
