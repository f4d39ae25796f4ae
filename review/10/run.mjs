// Replicas lose the answers of some requests that they ran, and are full now and then. A request must not run
// on more replicas than its route's `maxAttempts`.
import { attemptId, configOf, exchange, Replica, runCase, sleep, trouble } from '../rig-2.mjs';

const host = 'desk.example';
const key = 'key-of-quay-1';
const seconds = 75;
const clients = 48;
/** The largest doses of `answer_lost` with resets in the site file. */
const replicaShare = 0.5;
const answerShare = 0.05;
const slots = 3;
const queue = 1;
const workMs = 30;
const routes = [
  {
    name: 'lookup',
    host,
    pathPrefix: '/lookup/',
    kind: 'idempotent',
    timeoutMs: 2000,
    latencyGoalMs: 300,
    priority: 2,
    service: 'desk',
    maxAttempts: 1,
    public: false,
  },
];

await runCase({
  async run(rig) {
    const { record } = rig;
    /** The replicas that ran each request. */
    const runs = new Map();
    const lost = new Set();
    let rejected = 0;
    const serve = async (request, response, body, replica) => {
      const id = request.headers['attempt-id'];
      if (replica.waiting >= slots + queue) {
        rejected += 1;
        response.writeHead(503, { 'Attempt-Id': id, 'Not-Executed': '1', 'Content-Length': 0 });
        response.end();
        return;
      }
      replica.waiting += 1;
      while (replica.busy >= slots) {
        await sleep(5);
      }
      if (response.destroyed) {
        replica.waiting -= 1;
        return;
      }
      replica.busy += 1;
      const known = runs.get(id) ?? new Set();
      runs.set(id, known.add(replica.id));
      await sleep(workMs);
      replica.busy -= 1;
      replica.waiting -= 1;
      if (trouble && replica.loses && Math.random() < answerShare) {
        lost.add(id);
        record.add(`replica ${replica.id} ran ${id}; its answer is lost, the channel is reset`);
        request.socket.resetAndDestroy();
        return;
      }
      replica.answer(request, response, `done ${id}`);
    };
    for (let i = 0; i < 4; i += 1) {
      const replica = new Replica(rig, 'desk', { serve, slots, zone: `zone-${'abc'[i % 3]}` });
      Object.assign(replica, { busy: 0, waiting: 0, loses: i < 4 * replicaShare });
      await replica.start();
    }
    const tenants = [{ name: 'quay', apiKeys: [key], priority: 1 }];
    if ((await rig.replaceConfig(configOf(1, routes, ['desk'], tenants))) !== 200) {
      return { text: 'no configuration was accepted' };
    }
    if (!(await rig.awaitReady())) {
      return { text: 'the entries were not ready' };
    }
    await sleep(3000);
    const ends = {};
    const until = Date.now() + seconds * 1000;
    const loop = async (number) => {
      while (Date.now() < until) {
        const id = attemptId();
        const entry = rig.entries[number % rig.entries.length];
        const headers = {
          Host: host,
          'Attempt-Id': id,
          'Deadline-Ms': '2000',
          Authorization: `Token ${key}`,
        };
        const address = `${entry.ip}:${rig.ports.frontend}`;
        const reply = await exchange(address, 'GET', '/lookup/1', headers, undefined, 3000);
        const end = String(reply.status ?? reply.error);
        ends[end] = (ends[end] ?? 0) + 1;
        const ran = runs.get(id)?.size ?? 0;
        if (ran > 1) {
          record.add(
            `client: ${id} at ${entry.name} -> ${end}; it ran on ${[...runs.get(id)].join(', ')}`,
          );
        }
        // Refused ones come back as they are told to, at once at the least.
        await sleep(reply.status === 200 ? Math.random() * 40 : 100);
      }
    };
    await Promise.all(Array.from({ length: clients }, (_, i) => loop(i)));
    await sleep(500);
    const over = [...runs.values()].filter((replicas) => replicas.size > 1).length;
    const text = `${runs.size} requests ran, ${lost.size} answers were lost, ${rejected} sendings were rejected; ${over} requests ran on more than 1 replica, their route's maxAttempts (allowed: 3); answers: ${JSON.stringify(ends)}`;
    if (!ends['200']) {
      return { text };
    }
    return { broken: over > 3, text };
  },
});
