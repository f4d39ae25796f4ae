import assert from 'node:assert/strict';
import { execFile } from 'node:child_process';
import { test } from 'node:test';
import { fileURLToPath } from 'node:url';

const program = fileURLToPath(new URL('../../bin/tanagercart.js', import.meta.url));
const examplesFolder = fileURLToPath(new URL('../../../../examples/', import.meta.url));

interface Run {
  readonly code: number;
  readonly out: string;
  readonly err: string;
}

const run = (...args: string[]) =>
  new Promise<Run>((resolve) => {
    const child = execFile(process.execPath, [program, ...args], (_, out, err) =>
      resolve({ code: child.exitCode ?? -1, out, err }),
    );
  });

test('the program prints its version', async () => {
  assert.deepEqual(await run('--version'), { code: 0, out: '0.1.0\n', err: '' });
});

test('arguments that match no command exit with 2', async () => {
  const codes = await Promise.all([run('fly'), run('node'), run('check', '--colour', 'red')]);
  assert.deepEqual(
    codes.map((r) => r.code),
    [2, 2, 2],
  );
});

test('a failed check exits with 1 and prints the reason', async () => {
  const r = await run('check', '--settings', `${examplesFolder}ramdenee/release-1.toml`);
  assert.equal(r.code, 1);
  assert.match(r.err, /release-1\.toml: cluster: found nothing; expected/);
});

test('valid settings and a valid note exit with 0', async () => {
  const r = await run(
    ...['check', '--settings', `${examplesFolder}ramdenee/r1.toml`],
    ...['--note', `${examplesFolder}ramdenee/release-1.toml`],
  );
  assert.deepEqual(r, { code: 0, out: 'ok\n', err: '' });
});
