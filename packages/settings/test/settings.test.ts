import assert from 'node:assert/strict';
import { test } from 'node:test';
import { checksFencing, formatProblem, parseSettings, readSecret } from '../src/index.js';

const text = (extra = '', node = '') => `
cluster = "ramdenee"
voters = ["n1"]
[node]
id = "n1"
dataCentre = "north"
peer = "127.0.0.1:7101"
entry = "127.0.0.1:8101"
operator = "127.0.0.1:9101"
data = "data/n1"
${node}
${extra}`;

const peer = (id: string, port: number, entry = port + 1000) => `
[[peers]]
id = "${id}"
dataCentre = "north"
peer = "127.0.0.1:${port}"
entry = "127.0.0.1:${entry}"
`;

const problems = (t: string) => parseSettings(t, 'n1.toml')._unsafeUnwrapErr();
const lines = (t: string) => problems(t).map(formatProblem);

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

test('an error tells what was found and what is expected', () => {
  assert.deepEqual(lines(text('[log]\nlevel = "loud"')), [
    'n1.toml: log.level: found "loud"; expected one of "debug", "info", "warn", "error"',
  ]);
  assert.deepEqual(lines(text('[limits]\nbodyBytes = "4"\nanswerTokens = 0')), [
    'n1.toml: limits.bodyBytes: found "4"; expected a value of type number',
    'n1.toml: limits.answerTokens: found 0; expected more than 0',
  ]);
  assert.deepEqual(lines(text('[keys]\noperator = "hunter22"')), [
    'n1.toml: keys.operator: found a string; expected a table { env = "NAME" } or { file = "PATH" }',
  ]);
});

test('an unknown key is an error', () => {
  assert.equal(problems(text('colour = "red"'))[0]!.key, 'node.colour');
  assert.match(problems(text('[limits]\nbodyBites = 4'))[0]!.message, /unknown key/);
});

test('a file that is no TOML is an error with its line', () => {
  assert.match(lines('cluster = ')[0]!, /^n1\.toml: line 1: /);
});

test('every voter is the node itself or a peer', () => {
  const t = text().replace('["n1"]', '["n1", "n2"]');
  assert.deepEqual(lines(t), [
    'n1.toml: voters.1: found "n2"; expected node.id or the id of a peer',
  ]);
  assert.ok(parseSettings(t + peer('n2', 7102), 'n1.toml').isOk());
});

test('a voter needs a disk', () => {
  assert.equal(problems(text().replace('data = "data/n1"', ''))[0]!.key, 'node.data');
});

test('ids and addresses are used once', () => {
  assert.equal(problems(text(peer('n2', 7101)))[0]!.key, 'peers.0.peer');
  assert.equal(problems(text(peer('n2', 7102) + peer('n2', 7103)))[0]!.key, 'peers.1.id');
  assert.equal(problems(text(peer('n2', 7102) + peer('n3', 7103, 7102)))[0]!.key, 'peers.1.entry');
});

test('a node among its own peers has the same addresses', () => {
  assert.ok(parseSettings(text(peer('n1', 7101)), 'n1.toml').isOk());
  assert.equal(problems(text(peer('n1', 7105, 8101)))[0]!.key, 'peers.0.peer');
});

test('timing that cannot work is an error', () => {
  const keys = problems(text('[timing]\nelectionMs = 120\nholdMs = 1100')).map((p) => p.key);
  assert.deepEqual(keys, ['timing.electionMs', 'timing.leaseMs', 'timing.silenceMs']);
});

test('upstreams that check fencing numbers are named by id or by prefix', () => {
  const t = text('[upstreams]\ncheckFencing = ["fig-1a", "quince-*"]');
  const s = parseSettings(t, 'n1.toml')._unsafeUnwrap();
  const checks = ['fig-1a', 'fig-1b', 'quince-2a'].map((id) => checksFencing(s, id));
  assert.deepEqual(checks, [true, false, true]);
});

test('a secret comes from the environment or a file, and an error does not tell it', async () => {
  const set = await readSecret({ env: 'K' }, { K: 'long-enough' });
  assert.equal(set._unsafeUnwrap(), 'long-enough');
  const short = await readSecret({ env: 'K' }, { K: 'qqq' });
  assert.ok(!short._unsafeUnwrapErr().includes('qqq'));
  assert.ok((await readSecret({ file: '/nonexistent/key' }, {})).isErr());
});
