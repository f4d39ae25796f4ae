/**
 * A voter that was silent for a few seconds is taken out of a voter set of even size, and never
 * returns to it, as it takes itself for a voter. It acknowledges that replicas have gone without
 * telling anybody, if they started after it was taken out.
 */

import { fileURLToPath } from 'node:url';
import {
  Client,
  Replica,
  callControl,
  configuration,
  demand,
  hasTrouble,
  now,
  runCase,
  sleep,
  until,
} from '../lib.mjs';

/** As in ramdenee-cart-grown. */
const bounds = { contactMs: 4000, drainMs: 2500, configApplyMs: 2500, budgetSlack: 320 };

/** Nine core machines in three zones, of which the deploy file takes half, rounded up, in each. */
const voters = 6;

/** `node_freeze` of a core machine in the site file. */
const freezeMs = 4000;

/** `catchUpS` and more, after which the machine counts as back. */
const settleMs = 10_000;

await runCase(fileURLToPath(new URL('.', import.meta.url)), async (create, record) => {
  const deployment = await create({ voters, entries: 3, bounds });
  const gauges = () => Promise.all(deployment.voters.map((v) => v.metrics().catch(() => ({}))));
  const formed = await until(
    async () => (await gauges()).every((g) => g.voter_votes === 1 && g.voter_members === voters),
    15_000,
  );
  demand(formed, 'all voters vote');
  const targets = deployment.voters.map((v) => v.ip);
  const body = configuration(1);
  const path = '/tanagercart/Config.Replace';
  const accepted = await callControl({ record, targets, method: 'POST', path, body });
  demand(accepted?.status === 200, 'the configuration is accepted');
  for (let i = 0; i < 3; i += 1) await deployment.addReplica(Replica, { workMs: 86 });
  await sleep(2500);
  const client = new Client(deployment, { path: '/lookup/', perSecond: 60 });
  await sleep(2000);

  const leader = await deployment.leader();
  const frozen = deployment.voters.slice(3).find((v) => v !== leader);
  if (hasTrouble) {
    frozen.signal('SIGSTOP');
    await sleep(freezeMs);
    frozen.signal('SIGCONT');
  } else await sleep(freezeMs);
  await sleep(settleMs);
  for (const [i, g] of (await gauges()).entries()) {
    const { voter_leads: leads, voter_votes: votes, voter_members: members } = g;
    record.write('gauges', { machine: deployment.voters[i].name, leads, votes, members });
  }

  // A replica that starts now checks in at the machine that was frozen, and leaves later on.
  const replica = await deployment.addReplica(Replica, { workMs: 86, targets: [frozen.ip] });
  await sleep(6000);
  demand(replica.runs.length > 0, 'the new replica gets requests');
  // It leaves right after a check-in, so that it is not soon taken for lost.
  const isFresh = () => now() - replica.checkedInAt < 100;
  demand(await until(isFresh, 3000), 'the new replica checks in');
  const acknowledged = await replica.deregister();
  demand(acknowledged, 'the deregistration is acknowledged');
  record.write('deregistration acknowledged', { replica: replica.id, by: acknowledged.address });
  await sleep(bounds.drainMs + 3500);
  client.stop();
  const late = replica.runs.filter((r) => r.at > acknowledged.at + bounds.drainMs);
  for (const { attempt, at } of late) {
    record.write('late arrival', { attempt, afterMs: Math.round(at - acknowledged.at) });
  }
  const served = client.sent.filter((r) => r.status === 200).length;
  record.write('requests', {
    sent: client.sent.length,
    served,
    late: late.length,
    endedAt: Math.round(now()),
  });
  return late.length > 0;
});
