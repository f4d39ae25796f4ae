// An operator sends configurations that are invalid. None of them may be acknowledged.
import http from 'node:http';
import { configOf, runCase, sleep, trouble } from '../rig-2.mjs';

const route = (more) => ({
  name: 'lookup',
  host: 'desk.example',
  pathPrefix: '/lookup/',
  kind: 'idempotent',
  timeoutMs: 2000,
  latencyGoalMs: 300,
  priority: 2,
  maxAttempts: 2,
  public: false,
  ...more,
});
const tenants = [{ name: 'quay', apiKeys: ['key-of-quay-1'], priority: 1 }];
const text = (version, more, name = 'quay') =>
  JSON.stringify(configOf(version, [route(more)], ['desk'], [{ ...tenants[0], name }]));

/** Sends bytes as a configuration to a voter; resolves to the status. */
function replace(address, bytes) {
  const [host, port] = address.split(':');
  return new Promise((done) => {
    const headers = { 'Content-Type': 'application/json', 'Content-Length': bytes.length };
    const path = '/tanagercart/Config.Replace';
    const request = http.request({ host, port, path, method: 'POST', headers, timeout: 4000 });
    request.on('error', () => done(undefined));
    request.on('response', (response) => {
      response.resume();
      done(response.statusCode);
    });
    request.end(bytes);
  });
}

await runCase({
  async run(rig) {
    const { record } = rig;
    const first = configOf(1, [route({ service: 'desk' })], ['desk'], tenants);
    if ((await rig.replaceConfig(first)) !== 200) {
      return { text: 'no configuration was accepted' };
    }
    await sleep(1000);
    const split = [{ service: 'desk', weight: 1 }];
    const valid = [
      ['a route whose split names a known service', Buffer.from(text(20, { trafficSplit: split }))],
      ['a tenant with a name in UTF-8', Buffer.from(text(21, { service: 'desk' }, 'séchoirs'))],
    ];
    const invalid = [
      [
        'a route that names the unknown service `dsek`, beside a split',
        Buffer.from(text(10, { service: 'dsek', trafficSplit: split })),
      ],
      [
        'bytes that are no UTF-8 in the name of a tenant',
        Buffer.from(text(11, { service: 'desk' }, 's\u00e9choirs'), 'latin1'),
      ],
    ];
    const sent = trouble ? invalid : valid;
    const acknowledged = [];
    for (const [what, bytes] of sent) {
      const { version } = JSON.parse(bytes.toString('latin1'));
      let status;
      for (let i = 0; i < 12 && (status === undefined || status >= 500); i += 1) {
        const address = rig.controls[i % rig.controls.length];
        status = await replace(address, bytes);
        record.add(
          `operator: version ${version} (${what}) at ${address} -> ${status ?? 'no response'}`,
        );
        await sleep(200);
      }
      const read = await rig.readConfig();
      const inForce = JSON.stringify({
        route: read?.routes?.[0]?.service,
        split: read?.routes?.[0]?.trafficSplit,
        tenant: read?.tenants?.[0]?.name,
      });
      record.add(`operator: version ${read?.version} is read back, with ${inForce}`);
      if (status === 200) {
        acknowledged.push(`version ${version}: ${what}`);
      }
      if (!trouble && status !== 200) {
        return { text: `a valid configuration got ${status}` };
      }
    }
    const found = acknowledged.length === 0 ? 'none' : acknowledged.join('; ');
    return { broken: trouble && acknowledged.length > 0, text: `acknowledged: ${found}` };
  },
});
