// A request crashes each replica that runs it, after the first events of its answer, and comes again.
import { attemptId, configOf, exchange, Replica, runCase, sleep, trouble } from '../rig-2.mjs';

const host = 'advice.example';
const key = 'key-of-quay-1';
const contactMs = 3000;
const backMs = 2500;
const repeats = 8;
const everyMs = 4500;
const routes = [
  {
    name: 'advice',
    host,
    pathPrefix: '/advice/',
    kind: 'streaming',
    timeoutMs: 10000,
    latencyGoalMs: 500,
    priority: 1,
    service: 'pool',
    maxAttempts: 2,
    public: false,
    sticky: true,
    resumable: true,
    itlTargetMs: 200,
  },
];

await runCase({
  async run(rig) {
    const { record } = rig;
    const crashes = [];
    const arrivals = [];
    const serve = async (request, response, body, replica) => {
      const id = request.headers['attempt-id'];
      const last = Number(request.headers['last-event-id'] ?? 0);
      const isPoison = body.toString() === 'poison';
      record.add(
        `replica ${replica.id} runs ${id} from event ${last + 1}${isPoison ? ', which will crash it' : ''}`,
      );
      if (isPoison) arrivals.push(Date.now());
      response.writeHead(200, {
        'Attempt-Id': id,
        'Response-Signature': `sig.${replica.id}`,
        'Content-Type': 'text/event-stream',
      });
      for (let event = last + 1; event <= 20; event += 1) {
        if (response.destroyed) return;
        response.write(`id: ${event}\ndata: text ${event}\n\n`);
        await sleep(30);
        if (isPoison && event === last + 3) {
          crashes.push({ replica: replica.id, at: Date.now() });
          void replica.crashFor(backMs);
          return;
        }
      }
      response.end();
    };
    for (let i = 0; i < 6; i += 1) {
      await new Replica(rig, 'pool', { serve, slots: 20, zone: `zone-${'abc'[i % 3]}` }).start();
    }
    const config = configOf(1, routes, ['pool'], [{ name: 'quay', apiKeys: [key], priority: 1 }]);
    if ((await rig.replaceConfig(config)) !== 200) return { text: 'no configuration was accepted' };
    if (!(await rig.awaitReady())) return { text: 'the entries were not ready' };
    await sleep(4000);
    let served = 0;
    const send = async (entry, body) => {
      const id = attemptId();
      const headers = {
        Host: host,
        'Attempt-Id': id,
        'Deadline-Ms': '10000',
        Authorization: `Token ${key}`,
      };
      record.add(`client: sends ${id} POST /advice/1 (${body}) to ${entry.name}`);
      const reply = await exchange(
        `${entry.ip}:${rig.ports.frontend}`,
        'POST',
        '/advice/1',
        headers,
        body,
        10500,
      );
      record.add(
        `client: ${id} POST /advice/1 (${body}) at ${entry.name} -> ${reply.status ?? ''} ${reply.complete ? 'complete' : reply.error}`,
      );
      if (body === 'sound' && reply.status === 200 && reply.complete) served += 1;
    };
    for (let i = 0; i < repeats; i += 1) {
      const entry = rig.entries[i % rig.entries.length];
      void send(rig.entries[(i + 1) % rig.entries.length], 'sound');
      if (trouble) void send(entry, 'poison');
      await sleep(everyMs);
    }
    const replicasCrashed = new Set();
    let thirdAt = Infinity;
    for (const { replica, at } of crashes) {
      replicasCrashed.add(replica);
      if (replicasCrashed.size === 3) {
        thirdAt = at;
        break;
      }
    }
    const late = arrivals.filter((at) => at > thirdAt + contactMs).length;
    const text = `${crashes.length} crashes; the request reached replicas ${late} times later than ${contactMs} ms after the third (allowed: 3); ${served} sound requests were served`;
    if (!trouble && served < repeats / 2) {
      return { text: `only ${served} sound requests were served` };
    }
    return { broken: late > 3, text };
  },
});
