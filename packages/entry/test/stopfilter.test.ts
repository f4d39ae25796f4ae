import assert from 'node:assert/strict';
import { test } from 'node:test';
import fc from 'fast-check';
import { StopFilter } from '../src/index.js';

const filterAll = (tokens: readonly string[], stops: readonly string[]) => {
  const filter = StopFilter.create(stops);
  let text = '';
  for (const t of tokens) {
    const result = filter.push(t);
    text += result.text;
    if (result.stopped) return text;
  }
  return text + filter.flush();
};

const cutBefore = (text: string, stop: string) =>
  text.includes(stop) ? text.slice(0, text.indexOf(stop)) : text;

test('a stop sequence that spans tokens ends the answer before it', () => {
  assert.equal(filterAll(['dry the', ' tr', 'ays now'], ['trays']), 'dry the ');
});

test('text that is only the start of a stop sequence is sent', () => {
  assert.equal(filterAll(['dry the tr', 'uck'], ['trays']), 'dry the truck');
});

test('the answer is cut as if it had arrived as one token', () => {
  const piece = fc.string({ unit: fc.constantFrom('a', 'b'), maxLength: 4 });
  const stop = fc.string({ unit: fc.constantFrom('a', 'b'), minLength: 1, maxLength: 4 });
  const same = (tokens: readonly string[], s: string) =>
    assert.equal(filterAll(tokens, [s]), cutBefore(tokens.join(''), s));
  fc.assert(fc.property(fc.array(piece), stop, same), { seed: 1 });
});
