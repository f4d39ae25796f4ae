import assert from 'node:assert/strict';
import { test } from 'node:test';
import { checksFencing, formatProblem, parseSettings, readSecret } from '../src/index.js';

const settingsText = (extra = '', node = '') => `
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

const peerText = (id: string, port: number, entry = port + 1000) => `
[[peers]]
id = "${id}"
dataCentre = "north"
peer = "127.0.0.1:${port}"
entry = "127.0.0.1:${entry}"
`;

const problems = (t: string) => parseSettings(t, 'n1.toml')._unsafeUnwrapErr();
const lines = (t: string) => problems(t).map(formatProblem);

test('settings are parsed and defaults are applied', () => {
  const s = parseSettings(settingsText(), 'n1.toml')._unsafeUnwrap();
  assert.equal(s.node.id, 'n1');
  assert.equal(s.log.level, 'info');
});

test('an error names the file and the key', () => {
  const [p] = problems(settingsText().replace('127.0.0.1:7101', 'somewhere'));
  assert.equal(p!.file, 'n1.toml');
  assert.equal(p!.key, 'node.peer');
});

test('an error states the found and the expected value', () => {
  assert.deepEqual(lines(settingsText('[log]\nlevel = "loud"')), [
    'n1.toml: log.level: found "loud"; expected one of "debug", "info", "warn", "error"',
  ]);
  assert.deepEqual(lines(settingsText('[limits]\nbodyBytes = "4"\nanswerTokens = 0')), [
    'n1.toml: limits.bodyBytes: found "4"; expected a value of type number',
    'n1.toml: limits.answerTokens: found 0; expected more than 0',
  ]);
  assert.deepEqual(lines(settingsText('[keys]\noperator = "hunter22"')), [
    'n1.toml: keys.operator: found a string; expected a table { env = "NAME" } or { file = "PATH" }',
  ]);
});

test('an unknown key is an error', () => {
  assert.equal(problems(settingsText('colour = "red"'))[0]!.key, 'node.colour');
  assert.match(problems(settingsText('[limits]\nbodyBites = 4'))[0]!.message, /unknown key/);
});

test('invalid TOML is reported with its line', () => {
  assert.match(lines('cluster = ')[0]!, /^n1\.toml: line 1: /);
});

test('every voter must be the node itself or a peer', () => {
  const t = settingsText().replace('["n1"]', '["n1", "n2"]');
  assert.deepEqual(lines(t), [
    'n1.toml: voters.1: found "n2"; expected node.id or the id of a peer',
  ]);
  assert.ok(parseSettings(t + peerText('n2', 7102), 'n1.toml').isOk());
});

test('a voter must have a data folder', () => {
  assert.equal(problems(settingsText().replace('data = "data/n1"', ''))[0]!.key, 'node.data');
});

test('ids and addresses must be unique', () => {
  assert.equal(problems(settingsText(peerText('n2', 7101)))[0]!.key, 'peers.0.peer');
  assert.equal(
    problems(settingsText(peerText('n2', 7102) + peerText('n2', 7103)))[0]!.key,
    'peers.1.id',
  );
  assert.equal(
    problems(settingsText(peerText('n2', 7102) + peerText('n3', 7103, 7102)))[0]!.key,
    'peers.1.entry',
  );
});

test('a node listed among its peers must have the same addresses there', () => {
  assert.ok(parseSettings(settingsText(peerText('n1', 7101)), 'n1.toml').isOk());
  assert.equal(problems(settingsText(peerText('n1', 7105, 8101)))[0]!.key, 'peers.0.peer');
});

test('inconsistent timeouts are errors', () => {
  const keys = problems(settingsText('[timing]\nelectionMs = 120\nholdMs = 1100')).map(
    (p) => p.key,
  );
  assert.deepEqual(keys, ['timing.electionMs', 'timing.leaseMs', 'timing.silenceMs']);
});

test('upstreams that check fencing numbers match by id or by prefix', () => {
  const t = settingsText('[upstreams]\ncheckFencing = ["fig-1a", "quince-*"]');
  const s = parseSettings(t, 'n1.toml')._unsafeUnwrap();
  const checks = ['fig-1a', 'fig-1b', 'quince-2a'].map((id) => checksFencing(s, id));
  assert.deepEqual(checks, [true, false, true]);
});

test('secrets are read from the environment or a file and never appear in errors', async () => {
  const set = await readSecret({ env: 'K' }, { K: 'long-enough' });
  assert.equal(set._unsafeUnwrap(), 'long-enough');
  const short = await readSecret({ env: 'K' }, { K: 'qqq' });
  assert.ok(!short._unsafeUnwrapErr().includes('qqq'));
  assert.ok((await readSecret({ file: '/nonexistent/key' }, {})).isErr());
});
