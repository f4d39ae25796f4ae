import { once } from 'node:events';
import { dirname, join } from 'node:path';
import { fileURLToPath } from 'node:url';
import { CannotRun, DeadlyDesks, bounds, now, runCase, sleep, trouble } from '../rig-3.mjs';

/** Rounds of two arrivals and one planned restart of the voter that leads. */
const rounds = 5;
/** A machine of the core that was stopped is started again after this time. */
const restartMs = 500;

const record = join(dirname(fileURLToPath(import.meta.url)), 'record.txt');

await runCase(record, async (rig) => {
  const desks = await DeadlyDesks.create(rig);
  for (let round = 0; round < rounds; round += 1) {
    const others = desks.sendOthers(2500);
    for (let i = 0; i < 2; i += 1) {
      await sleep(600);
      await desks.send(rig.entries[i], 'POST');
    }
    await others;
    await sleep(500);
    if (trouble) {
      const leader = await rig.leader();
      if (leader === undefined) throw new CannotRun('no voter says that it leads');
      const name = `voter-${leader + 1}`;
      const child = rig.children.get(name);
      rig.log(`${name} leads and gets SIGTERM`);
      desks.coreEvents.push(now());
      child.kill('SIGTERM');
      await once(child, 'exit');
      await sleep(restartMs);
      rig.start(name, 'voter');
      desks.coreEvents.push(now());
      rig.log(`${name} is started again`);
    }
    await sleep(bounds.contactMs + 1500);
  }
  return desks.broken();
});
