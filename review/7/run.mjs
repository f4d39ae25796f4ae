// The only tenant is taken away. Requests with its key, and with a key that nobody ever held, must not run.
import { attemptId, configOf, exchange, Replica, runCase, sleep, trouble } from '../rig-2.mjs';

const host = 'desk.example';
const heldKey = 'key-of-quay-1';
const strangerKey = 'key-that-nobody-held';
const route = (name, pathPrefix, kind) => ({
  name,
  host,
  pathPrefix,
  kind,
  timeoutMs: 2000,
  latencyGoalMs: 300,
  priority: 2,
  service: 'desk',
  maxAttempts: kind === 'idempotent' ? 2 : 1,
  public: false,
});
const routes = [
  route('lookup', '/lookup/', 'idempotent'),
  route('order', '/order/', 'non_idempotent'),
];

await runCase({
  async run(rig) {
    const { record } = rig;
    const runs = new Map();
    const serve = (request, response, body, replica) => {
      const id = request.headers['attempt-id'];
      record.add(
        `replica ${replica.id} runs ${id}: ${request.method} ${request.url}, Tenant ${request.headers.tenant ?? 'missing'}`,
      );
      runs.set(id, (runs.get(id) ?? 0) + 1);
      replica.answer(request, response, `done ${id}`);
    };
    const replicas = [
      new Replica(rig, 'desk', { serve }),
      new Replica(rig, 'desk', { serve, zone: 'zone-b' }),
    ];
    for (const replica of replicas) await replica.start();
    const first = configOf(
      1,
      routes,
      ['desk'],
      [{ name: 'quay', apiKeys: [heldKey], priority: 1 }],
    );
    if ((await rig.replaceConfig(first)) !== 200) return { text: 'no configuration was accepted' };
    if (!(await rig.awaitReady())) return { text: 'the entries were not ready' };
    await sleep(3000);
    /** Sends a request to each entry with a key; returns how many ran. */
    const send = async (key, what) => {
      let ran = 0;
      for (const entry of rig.entries) {
        for (const [method, path] of [
          ['GET', '/lookup/1'],
          ['POST', '/order/1'],
        ]) {
          const id = attemptId();
          const headers = {
            Host: host,
            'Attempt-Id': id,
            'Deadline-Ms': '2000',
            Authorization: `Token ${key}`,
          };
          record.add(`client: sends ${id} ${method} ${path} to ${entry.name} with ${what}`);
          const reply = await exchange(
            `${entry.ip}:${rig.ports.frontend}`,
            method,
            path,
            headers,
            method === 'POST' ? '{"trays":1}' : undefined,
            2500,
          );
          record.add(
            `client: ${id} ${method} ${path} at ${entry.name} with ${what} -> ${reply.status ?? reply.error}`,
          );
          if (runs.has(id)) ran += 1;
        }
      }
      return ran;
    };
    const before = await send(heldKey, 'the key of the tenant');
    const strangersBefore = await send(strangerKey, 'a key that nobody held');
    if (before !== rig.entries.length * 2) {
      return { text: `only ${before} requests with the key ran before` };
    }
    if (trouble) {
      const second = configOf(2, routes, ['desk'], []);
      if ((await rig.replaceConfig(second)) !== 200) {
        return { text: 'the revocation had no confirmation' };
      }
      record.add('operator: version 2 is confirmed: no tenant holds a key any more');
    }
    // Later than `revokeMs` (5 s) after the confirmation, and than `configApplyMs` (2 s).
    await sleep(7000);
    const read = await rig.readConfig();
    record.add(
      `operator: version ${read?.version} is in force, tenants ${JSON.stringify(read?.tenants)}`,
    );
    const revoked = await send(heldKey, 'the key of the tenant');
    const strangers = (await send(strangerKey, 'a key that nobody held')) + strangersBefore;
    const brokenConfig = trouble && revoked > 0;
    const text = `${trouble ? revoked : 0} requests with the key that was taken away ran, ${strangers} with a key that no configuration ever held`;
    return { broken: brokenConfig || strangers > 0, text };
  },
});
