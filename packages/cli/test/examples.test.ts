import assert from 'node:assert/strict';
import { readdir } from 'node:fs/promises';
import { test } from 'node:test';
import { fileURLToPath } from 'node:url';
import { digestOf } from '@tanagercart/base';
import { listExamples, readExamplePlan, readNote, readSettings } from '../src/index.js';

const folder = fileURLToPath(new URL('../../../../examples/', import.meta.url));

for (const name of await listExamples()) {
  for (const file of await readdir(folder + name)) {
    test(`examples/${name}/${file} is accepted`, async () => {
      const path = `${folder}${name}/${file}`;
      if (file.startsWith('release-')) assert.deepEqual((await readNote(path)).isOk(), true);
      else if (file === 'demo.toml') assert.ok((await readExamplePlan(name)).isOk());
      else assert.equal((await readSettings(path))._unsafeUnwrap().node.id, file.split('.')[0]);
    });
  }

  test(`example ${name} has eight nodes in three data centres, five of them voters`, async () => {
    const { settings } = (await readExamplePlan(name))._unsafeUnwrap();
    const voters = settings.filter((s) => s.voters.includes(s.node.id));
    const countDataCentres = (list: typeof settings) =>
      new Set(list.map((s) => s.node.dataCentre)).size;
    assert.deepEqual([settings.length, countDataCentres(settings)], [8, 3]);
    assert.deepEqual([voters.length, countDataCentres(voters)], [5, 3]);
    assert.equal(new Set(settings.map((s) => s.voters.join())).size, 1);
  });

  test(`the keys of example ${name} are those of its ten accounts`, async () => {
    const { keys } = (await readExamplePlan(name))._unsafeUnwrap();
    const note = (await readNote(`${folder}${name}/release-1.toml`))._unsafeUnwrap();
    const digests = note.added.clientAccounts.map((a) => [a.id, a.keyDigest]);
    assert.equal(digests.length, 10);
    assert.deepEqual(
      digests,
      Object.entries(keys).map(([id, key]) => [id, digestOf(key)]),
    );
    assert.ok(note.added.priceLists.every((p) => p.tiers.length >= 3));
  });
}
