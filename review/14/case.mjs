import { dirname } from 'node:path';
import { fileURLToPath } from 'node:url';
import { DeadlyDesks, runCase, sleep, trouble } from '../rig-3.mjs';

/** Copies of the request that come at once, and how often they come. */
const copies = 4;
const visits = 4;
const intervalMs = 6000;

await runCase(dirname(fileURLToPath(import.meta.url)), async (rig) => {
  const desks = await DeadlyDesks.create(rig, { isDeadly: trouble });
  for (let visit = 0; visit < visits; visit += 1) {
    const others = desks.sendOthers(1500);
    await sleep(600);
    const sent = Array.from({ length: copies }, (_, i) => desks.send(rig.entries[i % 2], 'POST'));
    await Promise.all(sent);
    await others;
    await sleep(intervalMs);
  }
  return desks.broken();
});
