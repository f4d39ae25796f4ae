import assert from 'node:assert/strict';
import { execFile } from 'node:child_process';
import { mkdtemp, rm, writeFile } from 'node:fs/promises';
import { createServer } from 'node:http';
import type { AddressInfo } from 'node:net';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { test } from 'node:test';
import { fileURLToPath } from 'node:url';
import { checkDocument, validateDocument } from '@tanagercart/platform';

const program = fileURLToPath(new URL('../../bin/tanagercart.js', import.meta.url));

const route = (name: string, pathPrefix: string, change: object = {}) => ({
  name,
  host: 'figs.example',
  pathPrefix,
  kind: 'idempotent',
  timeoutMs: 2000,
  service: 'desk',
  ...change,
});

const documentOf = (change: object = {}) => ({
  version: 2,
  routes: [route('look', '/look/')],
  services: [{ name: 'desk' }],
  tenants: [{ name: 'quay', apiKeys: ['secret-1'] }],
  ...change,
});

const checked = (change: object) => checkDocument(JSON.stringify(documentOf(change)));
const warningsOf = (change: object) => checked(change).warnings.map((p) => `${p.where}: ${p.what}`);

const engine = {
  slots: 0,
  kvTokenBytes: 1_000_000,
  step_ms: 1,
  read_per_s: 1000,
  usual: { prompt: 900, answer: 100 },
  layerCount: 10,
  layerSizeMb: 500,
  pipeMbps: 1000,
  hardwareKinds: [
    { name: 'large', sizeMb: 2000, pace: 1, readFactor: 1 },
    { name: 'middle', sizeMb: 550, pace: 1, readFactor: 1 },
    { name: 'small', sizeMb: 400, pace: 1, readFactor: 1 },
  ],
};

/** Runs `tanagercart config check` on documents in files, the second being that in force. */
async function run(documents: readonly unknown[], ...args: string[]) {
  const folder = await mkdtemp(join(tmpdir(), 'tanagercart-'));
  const files = documents.map((_, i) => join(folder, `${i}.json`));
  await Promise.all(files.map((f, i) => writeFile(f, JSON.stringify(documents[i]))));
  const [file, against] = files;
  const all = [program, 'config', 'check', file!, ...(against ? ['--against', against] : [])];
  const result = await new Promise<{ code: number; out: string; err: string }>((resolve) => {
    const child = execFile(process.execPath, [...all, ...args], (_, out, err) =>
      resolve({ code: child.exitCode ?? -1, out, err }),
    );
  });
  await rm(folder, { recursive: true, force: true });
  return result;
}

// Guards against an entry that has no effect, which its author learns only from requests.
test('entries that can never match or take effect are warned of', () => {
  const inner = { trafficSplit: [{ service: 'desk', weight: 3 }], service: undefined };
  assert.deepEqual(warningsOf({}), []);
  assert.deepEqual(warningsOf({ routes: [route('a', '/a/'), route('b', '/a/b/', inner)] }), [
    'route b: route a with the shorter prefix /a/ serves the same',
  ]);
  const between = [route('a', '/a/'), route('c', '/a/b/', { timeoutMs: 3000 })];
  assert.deepEqual(warningsOf({ routes: [...between, route('b', '/a/b/c/')] }), []);
  const split = [
    { service: 'desk', weight: 1 },
    { service: 'spare', weight: 0 },
  ];
  const services = [{ name: 'desk' }, { name: 'spare' }, { name: 'unused' }];
  assert.deepEqual(warningsOf({ routes: [route('a', '/a/', { trafficSplit: split })], services }), [
    'route a: service has no effect beside trafficSplit',
    'route a: service spare has weight 0',
    'service unused: no route names it',
  ]);
  assert.deepEqual(warningsOf({ tenants: [{ name: 'quay' }] }), [
    'account quay: has no key, so no request is its',
  ]);
});

// Guards against limits that no request can meet together.
test('limits that contradict each other are warned of', () => {
  const hasty = route('a', '/a/', { timeoutMs: 500, itlTargetMs: 50 });
  assert.deepEqual(warningsOf({ routes: [hasty], limits: { maxBodyBytes: 0 } }), [
    'route a: latency target of 1000 ms is beyond the timeout of 500 ms',
    'route a: has a target for gaps between events, but is no stream',
    'limits: maxBodyBytes is 0',
  ]);
  assert.deepEqual(warningsOf({ services: [{ name: 'desk', runtime: engine }] }), [
    'service desk: slots are 0',
    'service desk: accelerator middle of 550 MB holds no usual request beside one layer',
    'service desk: accelerator small of 400 MB holds no layer',
  ]);
});

// Guards against a check before sending that differs from the one of the control plane.
test('the first error is the one for which the control plane refuses a document', () => {
  const faulty = [
    { routes: [route('a', '/a', { service: 'lost' })] },
    { routes: [{ name: 1 }, {}] },
    { tenants: ['a', 'b'].map((name) => ({ name, apiKeys: ['k'] })) },
  ];
  for (const change of faulty) {
    const { errors } = checked(change);
    const answer = validateDocument(JSON.stringify(documentOf(change)));
    assert.deepEqual(errors[0], answer._unsafeUnwrapErr());
  }
  assert.ok(checked(faulty[1]!).errors.some((p) => p.where === 'routes.1.host'));
});

test('the exit code tells errors, warnings and neither apart', async () => {
  const unused = documentOf({ services: [{ name: 'desk' }, { name: 'unused' }] });
  const found = await Promise.all([
    run([documentOf()]),
    run([unused]),
    run([documentOf({ services: [] })]),
    run([{}]),
    run([documentOf(), {}]),
  ]);
  assert.deepEqual(
    found.map((r) => r.code),
    [0, 1, 2, 2, 2],
  );
  assert.match(found[2].err, /0\.json: error: route look: service desk is unknown; add/);
});

// Guards against keys of callers in the output, and a version that the control plane passes over.
test('differences to the version in force are listed without keys', async () => {
  const tenants = [{ name: 'quay', apiKeys: ['secret-2', 'secret-3'] }];
  const changed = documentOf({ routes: [route('look', '/look/', { timeoutMs: 9 })], tenants });
  const { code, out } = await run([changed, documentOf()], '--json');
  const found = JSON.parse(out) as { warnings: { where: string }[]; differences: unknown };
  assert.equal(code, 1);
  assert.equal(found.warnings[0]!.where, 'version');
  assert.doesNotMatch(out, /secret/);
  assert.deepEqual(found.differences, [
    {
      change: 'changed',
      where: 'route look',
      fields: [{ field: 'timeoutMs', before: 2000, after: 9 }],
    },
    {
      change: 'changed',
      where: 'account quay',
      fields: [{ field: 'keys', before: '1 keys, not shown', after: '2 keys, not shown' }],
    },
  ]);
  const other = await run([documentOf({ version: 3, tenants: [] }), documentOf()]);
  assert.deepEqual([other.code, other.out], [0, 'removed account quay\nok\n']);
});

// Guards against an operator who does not see that requests need no key any more.
test('a list of accounts that is left out differs from an empty one', async () => {
  const open = await run([documentOf({ version: 3, tenants: undefined }), documentOf()]);
  const lines = [
    'removed account quay',
    'changed authentication',
    '  needsKey: true -> false',
    'ok',
  ];
  assert.deepEqual([open.code, open.out], [0, `${lines.join('\n')}\n`]);
  const closed = await run([
    documentOf({ version: 3, tenants: [] }),
    documentOf({ tenants: undefined }),
  ]);
  assert.match(closed.out, /changed authentication\n {2}needsKey: false -> true/);
});

// Guards against a comparison that passes although the version in force could not be read.
test('the version in force is read from a voter', async () => {
  let status = 200;
  const server = createServer((_, response) => {
    response.writeHead(status).end(JSON.stringify(documentOf()));
  });
  await new Promise<void>((resolve) => {
    server.listen(0, '127.0.0.1', resolve);
  });
  const url = `http://127.0.0.1:${(server.address() as AddressInfo).port}`;
  const read = await run([documentOf({ version: 3, tenants: [] })], '--url', url);
  assert.deepEqual([read.code, read.out], [0, 'removed account quay\nok\n']);
  status = 503;
  const unread = await run([documentOf()], '--url', url);
  assert.equal(unread.code, 2);
  assert.match(unread.err, /version in force: source: .*status 503/);
  server.close();
});
