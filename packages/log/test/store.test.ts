import assert from 'node:assert/strict';
import { mkdtemp, rm, cp, readdir } from 'node:fs/promises';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { test } from 'node:test';
import { NodeId, SeededRandom, silentLogger } from '@tanagercart/base';
import type { LogEntry } from '@tanagercart/protocol';
import { DiskStore, FileDisk, MemoryDisk } from '../src/index.js';
import type { Disk } from '../src/index.js';
import { encodeRecord } from '../src/record.js';

const random = SeededRandom.create(1);

function open(disk: Disk, segmentBytes = 400) {
  return DiskStore.open({ disk, random, logger: silentLogger, segmentBytes });
}

const entry = (index: number, term = 1): LogEntry => ({
  index,
  term,
  payload: { kind: 'command', bytes: Buffer.from(`c${index}`) },
});

const entries = (from: number, to: number, term = 1) =>
  Array.from({ length: to - from + 1 }, (_, i) => entry(from + i, term));

async function filled(disk: Disk, count: number) {
  const store = (await open(disk))._unsafeUnwrap();
  (await store.saveVote({ term: 3, vote: NodeId('b') }))._unsafeUnwrap();
  for (const e of entries(1, count)) (await store.append([e]))._unsafeUnwrap();
  return store;
}

const snapshot = (index: number, term = 1) => ({
  index,
  term,
  config: { voters: [], learners: [] },
  data: Buffer.from(`state ${index}`),
});

const segments = async (disk: Disk) =>
  [...(await disk.list())._unsafeUnwrap()].filter((n) => n.startsWith('log-')).sort();

test('a store finds everything again that was synced', async () => {
  const disk = MemoryDisk.create();
  const { diskId: name } = await filled(disk, 30);
  const again = (await open(disk.crash(random)))._unsafeUnwrap();
  assert.deepEqual(
    [again.hardState, again.lastIndex, again.diskId],
    [{ term: 3, vote: 'b' }, 30, name],
  );
  assert.deepEqual(again.slice(30, 1, 0)[0], entry(30));
});

test('what was not synced may be lost, and nothing else', async () => {
  const disk = MemoryDisk.create();
  await filled(disk, 5);
  const file = (await segments(disk)).at(-1);
  const size = (await disk.read(file!))._unsafeUnwrap().length;
  await disk.write(file!, size, encodeRecord(Buffer.alloc(50, 7)));
  assert.equal((await open(disk.crash(SeededRandom.create(3))))._unsafeUnwrap().lastIndex, 5);
});

test('a later entry at the same index replaces what followed it, also after a restart', async () => {
  const disk = MemoryDisk.create();
  const store = await filled(disk, 20);
  (await store.append([entry(8, 2)]))._unsafeUnwrap();
  const again = (await open(disk.crash(random)))._unsafeUnwrap();
  assert.deepEqual([again.lastIndex, again.termAt(8), again.termAt(7)], [8, 2, 1]);
});

test('a tail torn at any byte is cut, and the log goes on', async () => {
  const whole = MemoryDisk.create();
  await filled(whole, 3);
  const [file] = await segments(whole);
  const size = (await whole.read(file!))._unsafeUnwrap().length;
  for (let cut = 1; cut < 40; cut += 1) {
    const disk = MemoryDisk.create();
    await filled(disk, 3);
    disk.tearWrite(file!, size - cut);
    const store = (await open(disk))._unsafeUnwrap();
    assert.ok(store.lastIndex < 3);
    (await store.append([entry(store.lastIndex + 1)]))._unsafeUnwrap();
    assert.equal((await open(disk))._unsafeUnwrap().lastIndex, store.lastIndex);
  }
});

test('a changed byte anywhere stops the start, naming file and offset', async () => {
  const whole = MemoryDisk.create();
  await filled(whole, 12);
  for (const file of await segments(whole)) {
    const size = (await whole.read(file))._unsafeUnwrap().length;
    for (let offset = 0; offset < size; offset += 1) {
      const disk = MemoryDisk.create();
      await filled(disk, 12);
      disk.corruptByte(file, offset);
      const { detail } = (await open(disk))._unsafeUnwrapErr();
      assert.match(detail, new RegExp(`${file}: offset \\d+: `));
    }
  }
});

test('a missing file of the log stops the start', async () => {
  const disk = MemoryDisk.create();
  await filled(disk, 60);
  const files = await segments(disk);
  assert.ok(files.length > 2);
  await disk.remove(files[1]!);
  assert.match((await open(disk))._unsafeUnwrapErr().detail, new RegExp(files[1]!));
});

test('a log whose files are gone but for the name does not start as empty', async () => {
  const disk = MemoryDisk.create();
  await filled(disk, 5);
  for (const file of await segments(disk)) await disk.remove(file);
  assert.match((await open(disk))._unsafeUnwrapErr().detail, /missing/);
});

test('a snapshot drops old segments, and a restart goes on from it', async () => {
  const disk = MemoryDisk.create();
  const store = await filled(disk, 60);
  const before = (await segments(disk)).length;
  (await store.saveSnapshot(snapshot(50), 45))._unsafeUnwrap();
  assert.ok((await segments(disk)).length < before);
  const again = (await open(disk.crash(random)))._unsafeUnwrap();
  assert.deepEqual([again.firstIndex, again.lastIndex, again.snapshot?.index], [45, 60, 50]);
  assert.deepEqual(again.hardState, { term: 3, vote: 'b' });
});

test('a snapshot that the log does not lead up to replaces it', async () => {
  const disk = MemoryDisk.create();
  const store = await filled(disk, 10);
  (await store.saveSnapshot(snapshot(40, 2), 41))._unsafeUnwrap();
  (await store.append([entry(41, 2)]))._unsafeUnwrap();
  const again = (await open(disk.crash(random)))._unsafeUnwrap();
  assert.deepEqual([again.firstIndex, again.lastIndex, again.termAt(40)], [41, 41, 2]);
});

test('a crash between snapshot and log leaves the snapshot in force', async () => {
  const disk = MemoryDisk.create();
  await filled(disk, 10);
  const donor = MemoryDisk.create();
  const other = (await open(donor))._unsafeUnwrap();
  (await other.saveSnapshot(snapshot(40, 2), 41))._unsafeUnwrap();
  const name = 'snapshot-0000000000000040';
  await disk.write(name, 0, (await donor.read(name))._unsafeUnwrap());
  await disk.sync(name);
  await disk.syncFolder();
  const store = (await open(disk.crash(random)))._unsafeUnwrap();
  (await store.append([entry(41, 2)]))._unsafeUnwrap();
  const again = (await open(disk.crash(random)))._unsafeUnwrap();
  assert.deepEqual([again.firstIndex, again.lastIndex], [41, 41]);
});

test('once a write has failed, every later one fails too', async () => {
  const disk = MemoryDisk.create();
  const store = await filled(disk, 3);
  disk.fault = 'full';
  assert.match((await store.append([entry(4)]))._unsafeUnwrapErr().detail, /no space left/);
  disk.fault = 'none';
  assert.ok((await store.append([entry(4)])).isErr());
  assert.equal((await open(disk.crash(random)))._unsafeUnwrap().lastIndex, 3);
});

test('a folder of the machine is found again, and its copy is another disk', async () => {
  const folder = await mkdtemp(join(tmpdir(), 'tanagercart-'));
  const first = (await FileDisk.create(join(folder, 'one')))._unsafeUnwrap();
  const store = await filled(first, 40);
  (await store.saveSnapshot(snapshot(30), 31))._unsafeUnwrap();
  const again = (await open(first))._unsafeUnwrap();
  assert.deepEqual([again.lastIndex, again.firstIndex, again.diskId], [40, 31, store.diskId]);
  await cp(join(folder, 'one'), join(folder, 'two'), { recursive: true });
  const copy = (
    await open((await FileDisk.create(join(folder, 'two')))._unsafeUnwrap())
  )._unsafeUnwrap();
  assert.equal(copy.lastIndex, 40);
  assert.notEqual(copy.diskId, store.diskId);
  assert.ok((await readdir(join(folder, 'two'))).length > 0);
  await rm(folder, { recursive: true });
});

test('a snapshot at every index of every length of log is found again', async () => {
  for (let at = 1; at <= 30; at += 1) {
    for (const keepFrom of [at + 1, Math.max(1, at - 6)]) {
      const disk = MemoryDisk.create();
      const store = await filled(disk, 30);
      (await store.saveSnapshot(snapshot(at), keepFrom))._unsafeUnwrap();
      const again = (await open(disk.crash(random)))._unsafeUnwrap();
      assert.deepEqual([again.lastIndex, again.snapshot?.index], [30, at]);
      assert.equal(again.firstIndex, keepFrom);
    }
  }
});
