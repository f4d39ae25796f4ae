import assert from 'node:assert/strict';
import { mkdtemp, rm, cp, readdir } from 'node:fs/promises';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { test } from 'node:test';
import { NodeId, SeededRandom, silentLogger } from '@tanagercart/base';
import { encode } from '@tanagercart/protocol';
import type { LogEntry } from '@tanagercart/protocol';
import { DiskStore, FileDisk, MemoryDisk } from '../src/index.js';
import type { Disk } from '../src/index.js';
import { encodeRecord } from '../src/record.js';

const random = SeededRandom.create(1);

function openStore(disk: Disk, segmentBytes = 400) {
  return DiskStore.open({ disk, random, logger: silentLogger, segmentBytes });
}

const createEntry = (index: number, term = 1): LogEntry => ({
  index,
  term,
  payload: { kind: 'command', bytes: Buffer.from(`c${index}`) },
});

const createEntries = (from: number, to: number, term = 1) =>
  Array.from({ length: to - from + 1 }, (_, i) => createEntry(from + i, term));

/** Creates a store with a term, a vote and `count` entries. */
async function createFilledStore(disk: Disk, count: number) {
  const store = (await openStore(disk))._unsafeUnwrap();
  (await store.saveTerm({ term: 3, vote: NodeId('b') }))._unsafeUnwrap();
  for (const e of createEntries(1, count)) (await store.append([e]))._unsafeUnwrap();
  return store;
}

const createSnapshot = (index: number, term = 1) => ({
  index,
  term,
  config: { voters: [], learners: [] },
  data: Buffer.from(`state ${index}`),
});

/** Names of the segments, oldest first. */
const segmentFiles = async (disk: Disk) =>
  [...(await disk.list())._unsafeUnwrap()].filter((n) => n.startsWith('log-')).sort();

test('everything that was synced is found after a restart', async () => {
  const disk = MemoryDisk.create();
  const { diskId } = await createFilledStore(disk, 30);
  const reopened = (await openStore(disk.crash(random)))._unsafeUnwrap();
  assert.deepEqual(
    [reopened.hardState, reopened.lastIndex, reopened.diskId],
    [{ term: 3, vote: 'b' }, 30, diskId],
  );
  assert.deepEqual(reopened.slice(30, 1, 0)[0], createEntry(30));
});

test('a crash loses only what was not synced', async () => {
  const disk = MemoryDisk.create();
  await createFilledStore(disk, 5);
  const file = (await segmentFiles(disk)).at(-1);
  const size = (await disk.read(file!))._unsafeUnwrap().length;
  await disk.write(file!, size, encodeRecord(Buffer.alloc(50, 7)));
  assert.equal((await openStore(disk.crash(SeededRandom.create(3))))._unsafeUnwrap().lastIndex, 5);
});

test('an entry at an existing index replaces the rest of the log, also after restart', async () => {
  const disk = MemoryDisk.create();
  const store = await createFilledStore(disk, 20);
  (await store.append([createEntry(8, 2)]))._unsafeUnwrap();
  const reopened = (await openStore(disk.crash(random)))._unsafeUnwrap();
  assert.deepEqual([reopened.lastIndex, reopened.termAt(8), reopened.termAt(7)], [8, 2, 1]);
});

test('a log cut within its last record opens without that entry, and accepts others', async () => {
  const reference = MemoryDisk.create();
  await createFilledStore(reference, 3);
  const [file] = await segmentFiles(reference);
  const size = (await reference.read(file!))._unsafeUnwrap().length;
  for (let cut = 1; cut < 40; cut += 1) {
    const disk = MemoryDisk.create();
    await createFilledStore(disk, 3);
    disk.tearWrite(file!, size - cut);
    const store = (await openStore(disk))._unsafeUnwrap();
    assert.ok(store.lastIndex < 3);
    (await store.append([createEntry(store.lastIndex + 1)]))._unsafeUnwrap();
    assert.equal((await openStore(disk))._unsafeUnwrap().lastIndex, store.lastIndex);
  }
});

test('opening fails if any byte has changed, and the error contains file and offset', async () => {
  const reference = MemoryDisk.create();
  await createFilledStore(reference, 12);
  for (const file of await segmentFiles(reference)) {
    const size = (await reference.read(file))._unsafeUnwrap().length;
    for (let offset = 0; offset < size; offset += 1) {
      const disk = MemoryDisk.create();
      await createFilledStore(disk, 12);
      disk.corruptByte(file, offset);
      const { detail } = (await openStore(disk))._unsafeUnwrapErr();
      assert.match(detail, new RegExp(`${file}: offset \\d+: `));
    }
  }
});

test('opening fails if a segment is missing', async () => {
  const disk = MemoryDisk.create();
  await createFilledStore(disk, 60);
  const files = await segmentFiles(disk);
  assert.ok(files.length > 2);
  await disk.remove(files[1]!);
  assert.match((await openStore(disk))._unsafeUnwrapErr().detail, new RegExp(files[1]!));
});

test('opening fails if all segments are missing but the folder has an identifier', async () => {
  const disk = MemoryDisk.create();
  await createFilledStore(disk, 5);
  for (const file of await segmentFiles(disk)) await disk.remove(file);
  assert.match((await openStore(disk))._unsafeUnwrapErr().detail, /missing/);
});

test('a snapshot removes old segments, and a restart continues from it', async () => {
  const disk = MemoryDisk.create();
  const store = await createFilledStore(disk, 60);
  const before = (await segmentFiles(disk)).length;
  (await store.saveSnapshot(createSnapshot(50), 45))._unsafeUnwrap();
  assert.ok((await segmentFiles(disk)).length < before);
  const reopened = (await openStore(disk.crash(random)))._unsafeUnwrap();
  assert.deepEqual(
    [reopened.firstIndex, reopened.lastIndex, reopened.snapshot?.index],
    [45, 60, 50],
  );
  assert.deepEqual(reopened.hardState, { term: 3, vote: 'b' });
});

test('a snapshot after the end of the log replaces the log', async () => {
  const disk = MemoryDisk.create();
  const store = await createFilledStore(disk, 10);
  (await store.saveSnapshot(createSnapshot(40, 2), 41))._unsafeUnwrap();
  (await store.append([createEntry(41, 2)]))._unsafeUnwrap();
  const reopened = (await openStore(disk.crash(random)))._unsafeUnwrap();
  assert.deepEqual([reopened.firstIndex, reopened.lastIndex, reopened.termAt(40)], [41, 41, 2]);
});

test('after a crash between a snapshot and its `base` record, the snapshot is used', async () => {
  const disk = MemoryDisk.create();
  await createFilledStore(disk, 10);
  const donor = MemoryDisk.create();
  const other = (await openStore(donor))._unsafeUnwrap();
  (await other.saveSnapshot(createSnapshot(40, 2), 41))._unsafeUnwrap();
  const name = 'snapshot-0000000000000040';
  await disk.write(name, 0, (await donor.read(name))._unsafeUnwrap());
  await disk.sync(name);
  await disk.syncFolder();
  const store = (await openStore(disk.crash(random)))._unsafeUnwrap();
  (await store.append([createEntry(41, 2)]))._unsafeUnwrap();
  const reopened = (await openStore(disk.crash(random)))._unsafeUnwrap();
  assert.deepEqual([reopened.firstIndex, reopened.lastIndex], [41, 41]);
});

test('once a write has failed, all later ones fail too', async () => {
  const disk = MemoryDisk.create();
  const store = await createFilledStore(disk, 3);
  disk.fault = 'full';
  assert.match((await store.append([createEntry(4)]))._unsafeUnwrapErr().detail, /no space left/);
  disk.fault = 'none';
  assert.ok((await store.append([createEntry(4)])).isErr());
  assert.equal((await openStore(disk.crash(random)))._unsafeUnwrap().lastIndex, 3);
});

test('a folder in the file system keeps its identifier, and a copy gets another one', async () => {
  const folder = await mkdtemp(join(tmpdir(), 'tanagercart-'));
  const first = (await FileDisk.create(join(folder, 'one')))._unsafeUnwrap();
  const store = await createFilledStore(first, 40);
  (await store.saveSnapshot(createSnapshot(30), 31))._unsafeUnwrap();
  const reopened = (await openStore(first))._unsafeUnwrap();
  assert.deepEqual(
    [reopened.lastIndex, reopened.firstIndex, reopened.diskId],
    [40, 31, store.diskId],
  );
  await cp(join(folder, 'one'), join(folder, 'two'), { recursive: true });
  const copy = (
    await openStore((await FileDisk.create(join(folder, 'two')))._unsafeUnwrap())
  )._unsafeUnwrap();
  assert.equal(copy.lastIndex, 40);
  assert.notEqual(copy.diskId, store.diskId);
  assert.ok((await readdir(join(folder, 'two'))).length > 0);
  await rm(folder, { recursive: true });
});

test('a snapshot at any index is found after a restart, whatever is kept of the log', async () => {
  for (let at = 1; at <= 30; at += 1) {
    for (const keepFrom of [at + 1, Math.max(1, at - 6)]) {
      const disk = MemoryDisk.create();
      const store = await createFilledStore(disk, 30);
      (await store.saveSnapshot(createSnapshot(at), keepFrom))._unsafeUnwrap();
      const reopened = (await openStore(disk.crash(random)))._unsafeUnwrap();
      assert.deepEqual([reopened.lastIndex, reopened.snapshot?.index], [30, at]);
      assert.equal(reopened.firstIndex, keepFrom);
    }
  }
});

test('a disk that was full opens again with all that was acknowledged, whatever it still took', async () => {
  for (let roomBytes = 0; roomBytes < 120; roomBytes += 1) {
    for (const count of [3, 9, 10, 11, 12]) {
      const disk = MemoryDisk.create();
      const store = await createFilledStore(disk, count);
      disk.fault = 'full';
      disk.roomBytes = roomBytes;
      const isSnapshot = roomBytes % 2 === 0;
      const refused = isSnapshot
        ? await store.saveSnapshot(createSnapshot(count), count + 1)
        : await store.append([createEntry(count + 1)]);
      assert.ok(refused.isErr());
      disk.fault = 'none';
      const opened = await openStore(disk);
      assert.ok(opened.isOk(), `${count} entries, room for ${roomBytes} bytes`);
      const reopened = opened.value;
      // What was written whole and not acknowledged may be there.
      const { lastIndex } = reopened;
      assert.ok(lastIndex === count || lastIndex === count + 1);
      assert.equal(reopened.hardState.term, 3);
      for (const e of createEntries(lastIndex + 1, count + 12)) {
        (await reopened.append([e]))._unsafeUnwrap();
      }
      assert.equal((await openStore(disk.crash(random)))._unsafeUnwrap().lastIndex, count + 12);
    }
  }
});

test('an entry that was read back after a kill, without a sync, is not lost with the power', async () => {
  const disk = MemoryDisk.create();
  await createFilledStore(disk, 3);
  const [file] = await segmentFiles(disk);
  const size = (await disk.read(file!))._unsafeUnwrap().length;
  const record = encodeRecord(encode({ kind: 'entry', entry: createEntry(4) }));
  (await disk.write(file!, size, record))._unsafeUnwrap();
  assert.equal((await openStore(disk))._unsafeUnwrap().lastIndex, 4);
  assert.equal((await openStore(disk.crash(random)))._unsafeUnwrap().lastIndex, 4);
});
