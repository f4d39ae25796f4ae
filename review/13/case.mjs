import { dirname, join } from 'node:path';
import { fileURLToPath } from 'node:url';
import {
  Replica,
  answer,
  ask,
  bounds,
  documentOf,
  now,
  runCase,
  sleep,
  trouble,
} from '../rig-3.mjs';

/** Work for a long report; the drain is acknowledged shortly after it has begun. */
const workMs = 2600;
/** Of five answers of the replica, two are lost: a share of 0.4. */
const isLost = (n) => n % 5 === 2 || n % 5 === 4;

const record = join(dirname(fileURLToPath(import.meta.url)), 'record.txt');

await runCase(record, async (rig) => {
  await rig.startFleet({ entries: 2 });
  const arrivals = [];
  let answered = 0;
  const handle = async ({ replica, request, response, id }) => {
    arrivals.push({ at: now(), id, replica: replica.id });
    if (request.url.startsWith('/reports/short/')) {
      rig.log(`the short report ${id} reaches ${replica.id}`);
      await sleep(30);
      answer({ response, id, replica }, `done ${id}`);
      return;
    }
    rig.log(`${id} reaches ${replica.id}, Deadline-Ms ${request.headers['deadline-ms']}`);
    await sleep(workMs);
    if (!replica.isUp) return;
    if (trouble && replica.name === 'desk1') {
      answered += 1;
      if (isLost(answered - 1)) {
        rig.log(`${replica.id} has run ${id}, and its answer is lost by a reset`);
        request.socket.resetAndDestroy();
        return;
      }
    }
    answer({ response, id, replica }, `done ${id}`);
  };
  const desks = [1, 2, 3, 4, 5, 6, 7, 8].map(
    (n) =>
      new Replica(rig, {
        name: `desk${n}`,
        host: 150 + n,
        service: 'reports-desk',
        slots: 24,
        handle,
      }),
  );
  const [leaving] = desks;
  await rig.configure(
    documentOf(1, [
      {
        name: 'report',
        pathPrefix: '/reports/',
        kind: 'idempotent',
        service: 'reports-desk',
        timeoutMs: 10_000,
        latencyGoalMs: 4000,
      },
    ]),
  );
  for (const desk of desks) await desk.start();
  await rig.awaitReady();
  await sleep(1500);

  // Short reports, after which the entries keep channels to all replicas.
  const shorts = await Promise.all(
    Array.from({ length: 160 }, (_, i) =>
      ask(rig.entries[i % 2], { path: `/reports/short/${i}`, deadlineMs: 10_000 }),
    ),
  );
  for (const r of shorts) {
    rig.log(`client of the short report ${r.id}, sent at ${r.sentAt}, got ${r.status}`);
  }
  await sleep(200);
  const sent = Array.from({ length: 64 }, (_, i) =>
    ask(rig.entries[i % 2], { path: `/reports/long/${i}`, deadlineMs: 10_000 }),
  );
  await sleep(50);
  leaving.state = 'draining';
  while (!(await leaving.beat())) await sleep(50);
  const ackedAt = now();
  rig.log(`the draining of ${leaving.id} is acknowledged`);
  const left = (async () => {
    await sleep(bounds.drainMs + 2500);
    const body = JSON.stringify({ born: leaving.born });
    await leaving.tell(`/tanagercart/Instances.Deregister/${leaving.id}`, body);
    rig.log(`${leaving.id} has left`);
    leaving.crash();
  })();
  for (const r of await Promise.all(sent)) {
    rig.log(
      `client of the long report ${r.id}, sent at ${r.sentAt}, got ${r.status} after ${r.tookMs} ms`,
    );
  }
  await left;
  const late = arrivals.filter((a) => a.replica === leaving.id && a.at > ackedAt + bounds.drainMs);
  return late.map(
    (a) => `${a.id} reaches ${a.replica} ${a.at - ackedAt} ms after its draining was acknowledged`,
  );
});
