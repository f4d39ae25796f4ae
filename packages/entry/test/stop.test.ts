import assert from 'node:assert/strict';
import { test } from 'node:test';
import fc from 'fast-check';
import { StopFilter } from '../src/index.js';

const filtered = (tokens: readonly string[], stops: readonly string[]) => {
  const filter = StopFilter.create(stops);
  let text = '';
  for (const t of tokens) {
    const passed = filter.push(t);
    text += passed.text;
    if (passed.stopped) return text;
  }
  return text + filter.flush();
};

const cutAt = (text: string, stop: string) =>
  text.includes(stop) ? text.slice(0, text.indexOf(stop)) : text;

test('a sequence across tokens ends the answer before it', () => {
  assert.equal(filtered(['dry the', ' tr', 'ays now'], ['trays']), 'dry the ');
});

test('text that only begins a sequence is passed on', () => {
  assert.equal(filtered(['dry the tr', 'uck'], ['trays']), 'dry the truck');
});

test('the answer is cut as if it had come at once', () => {
  const piece = fc.string({ unit: fc.constantFrom('a', 'b'), maxLength: 4 });
  const stop = fc.string({ unit: fc.constantFrom('a', 'b'), minLength: 1, maxLength: 4 });
  const same = (tokens: readonly string[], s: string) =>
    assert.equal(filtered(tokens, [s]), cutAt(tokens.join(''), s));
  fc.assert(fc.property(fc.array(piece), stop, same), { seed: 1 });
});
