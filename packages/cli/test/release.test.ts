import assert from 'node:assert/strict';
import { test } from 'node:test';
import { formatSubmission, formatDryRun } from '../src/release.js';

const submit = (status: number, body: object) => formatSubmission('r.toml', { status, body });
const accepted = { number: 3, digest: 'd', resend: false };

test('a submission exits with 0 only once the note is in force on all nodes', () => {
  const done = submit(200, { ...accepted, spread: { kind: 'in-force' } });
  assert.equal(done.exit, 0);
  assert.match(done.out[0]!, /release 3 .* in force everywhere/);
  const spread = { kind: 'pending', waitingFor: ['n4'], atMostMs: 1200 };
  const pending = submit(200, { ...accepted, spread });
  assert.equal(pending.exit, 2);
  assert.match(pending.err[0]!, /not yet in force on n4; in force in 1\.2 s at most/);
  assert.equal(submit(200, { ...accepted, spread: { kind: 'no-leader' } }).exit, 2);
});

test('an unknown outcome exits with 2, a refused note with 1', () => {
  assert.equal(submit(503, { error: { code: 'unknown', message: '' } }).exit, 2);
  assert.equal(submit(503, { error: { code: 'unavailable', message: '' } }).exit, 1);
  const problems = [{ entry: 'added.models "fig"', line: 3, message: 'stands already' }];
  const invalid = submit(422, { error: { code: 'invalid-note', message: 'm', problems } });
  assert.deepEqual(
    [invalid.exit, invalid.err[1]],
    [1, 'r.toml:3: added.models "fig": stands already'],
  );
});

test('a dry run prints each changed key', () => {
  const keys = [{ key: 'layers', before: 8, after: 16 }];
  const difference = [{ kind: 'changed', part: 'models "fig"', keys }];
  const output = formatDryRun('r.toml', { status: 200, body: { difference } });
  assert.deepEqual(output.out, ['changed models "fig"', '  layers: 8 -> 16']);
});
