// Another writer checks in replicas of a service that isn't named here, at addresses of ours. These check-ins
// name no replica to use; the others hold. So the replicas that go on checking in must go on serving.
import { attemptId, configOf, exchange, Replica, runCase, sleep, trouble } from '../rig-2.mjs';

const key = 'key-of-quay-1';
const seconds = 40;
const route = (name, host, service, kind) => ({
  name,
  host,
  pathPrefix: `/${name}/`,
  kind,
  timeoutMs: 2000,
  latencyGoalMs: 300,
  priority: 2,
  service,
  maxAttempts: kind === 'idempotent' ? 2 : 1,
  public: false,
});
const routes = [
  route('lookup', 'desk.example', 'desk', 'idempotent'),
  route('order', 'desk.example', 'desk', 'non_idempotent'),
  route('match', 'finish.example', 'finishes', 'idempotent'),
];

await runCase({
  async run(rig) {
    const { record } = rig;
    const serve = async (request, response, body, replica) => {
      record.add(
        `replica ${replica.id} of ${replica.service} runs ${request.headers['attempt-id']}`,
      );
      await sleep(20);
      replica.answer(request, response, 'done');
    };
    const desks = [];
    for (let i = 0; i < 3; i += 1) {
      const zone = `zone-${'abc'[i]}`;
      desks.push(new Replica(rig, 'desk', { serve, zone }));
      await desks[i].start();
      await new Replica(rig, 'finishes', { serve, zone }).start();
    }
    const tenants = [{ name: 'quay', apiKeys: [key], priority: 1 }];
    const config = configOf(1, routes, ['desk', 'finishes'], tenants);
    if ((await rig.replaceConfig(config)) !== 200) {
      return { text: 'no configuration was accepted' };
    }
    if (!(await rig.awaitReady())) {
      return { text: 'the entries were not ready' };
    }
    await sleep(3000);
    const counts = new Map(routes.map(({ name }) => [name, { asked: 0, served: 0 }]));
    let sent = 0;
    const sendOne = async ({ name, host, kind }) => {
      sent += 1;
      const entry = rig.entries[sent % rig.entries.length];
      const id = attemptId();
      const headers = {
        Host: host,
        'Attempt-Id': id,
        'Deadline-Ms': '2000',
        Authorization: `Token ${key}`,
      };
      const method = kind === 'idempotent' ? 'GET' : 'POST';
      const body = kind === 'idempotent' ? undefined : '{"trays":1}';
      const address = `${entry.ip}:${rig.ports.frontend}`;
      record.add(`client: sends ${id} ${method} /${name}/1 to ${entry.name}`);
      const reply = await exchange(address, method, `/${name}/1`, headers, body, 2500);
      record.add(
        `client: ${id} ${method} /${name}/1 at ${entry.name} -> ${reply.status ?? reply.error}`,
      );
      return reply.status === 200;
    };
    for (const each of routes) {
      if (!(await sendOne(each))) {
        return { text: `${each.name} was not served before` };
      }
    }
    if (trouble) {
      for (const { address } of desks) {
        const body = {
          service: 'stock-of-another-house',
          address,
          zone: 'zone-a',
          version: 'v1',
          slots: 6,
          state: 'ready',
          coldRemainingMs: 0,
          sequence: 1,
          born: Date.now(),
        };
        const id = `x-${address.split(':')[0].split('.').at(-1)}`;
        record.add(`another writer: checks in ${id} of ${body.service} at ${address}, once`);
        await rig.control(
          'POST',
          `/tanagercart/Instances.Heartbeat/${id}`,
          JSON.stringify(body),
          'another writer',
          3000,
        );
      }
    }
    const until = Date.now() + seconds * 1000;
    while (Date.now() < until) {
      for (const each of routes) {
        const count = counts.get(each.name);
        count.asked += 1;
        count.served += (await sendOne(each)) ? 1 : 0;
      }
      await sleep(250);
    }
    const all = [...counts.values()];
    const share = (some) =>
      some.reduce((n, c) => n + c.served, 0) / some.reduce((n, c) => n + c.asked, 0);
    const starved = [...counts]
      .filter(([, c]) => share([c]) < share(all) / 4)
      .map(([name]) => name);
    const figures = [...counts].map(([name, c]) => `${name} ${c.served} of ${c.asked}`).join(', ');
    const text = `served: ${figures}; served less than a quarter as often as all: ${starved.join(', ') || 'none'}`;
    return { broken: starved.length > 0, text };
  },
});
