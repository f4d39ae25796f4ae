import assert from 'node:assert/strict';
import { test } from 'node:test';
import { parseSettings } from '../src/index.js';

const text = (extra = '') => `
cluster = "ramdenee"
voters = ["n1"]
[node]
id = "n1"
dataCentre = "north"
peer = "127.0.0.1:7101"
entry = "127.0.0.1:8101"
operator = "127.0.0.1:9101"
${extra}`;

const problems = (t: string) => parseSettings(t, 'n1.toml')._unsafeUnwrapErr();

test('settings are read, and defaults filled in', () => {
  const s = parseSettings(text(), 'n1.toml')._unsafeUnwrap();
  assert.equal(s.node.id, 'n1');
  assert.equal(s.log.level, 'info');
});

test('an error names file and key', () => {
  const [p] = problems(text().replace('127.0.0.1:7101', 'somewhere'));
  assert.equal(p!.file, 'n1.toml');
  assert.equal(p!.key, 'node.peer');
});

test('an unknown key is an error', () => {
  assert.match(problems(text('colour = "red"'))[0]!.message, /colour/);
});
