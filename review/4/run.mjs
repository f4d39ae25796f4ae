/**
 * A replica says that it is gone while the leader records the layers that it has been ordered to
 * hold. The leader writes a record that it read before, and the replica counts as ready again.
 */

import { fileURLToPath } from 'node:url';
import {
  Client,
  EngineReplica,
  callControl,
  demand,
  engineConfiguration,
  hasTrouble,
  runCase,
  sleep,
  until,
} from '../lib.mjs';

const drainMs = 2000;

/** Replicas that are added, and leave again, one after the other. */
const rounds = 6;

/** The time between the replica's word and its answer to the report that it is asked for. */
const answerAfterMs = Number(process.env.ANSWER_AFTER_MS ?? 3);

/** A replica that leaves as its load ends: it says so while it answers the leader's report. */
class LeavingReplica extends EngineReplica {
  async report() {
    if (this.layers && !this.busy && !this.leaving && hasTrouble) {
      this.leaving = this.leave();
      await sleep(answerAfterMs);
    }
    return super.report();
  }

  async leave() {
    const { record } = this.deployment;
    record.write('leaves', { replica: this.id });
    this.acknowledged = await this.deregister();
    if (this.acknowledged) {
      record.write('acknowledged', { replica: this.id, by: this.acknowledged.address });
    }
  }
}

await runCase(fileURLToPath(new URL('.', import.meta.url)), async (create, record) => {
  const deployment = await create({ voters: 3, entries: 2, bounds: { drainMs } });
  const targets = deployment.voters.map((v) => v.ip);
  for (let i = 0; i < 2; i += 1) await deployment.addReplica(EngineReplica, { workMs: 400 });
  const path = '/tanagercart/Config.Replace';
  const body = engineConfiguration(1);
  const reply = await callControl({ record, targets, method: 'POST', path, body });
  demand(reply?.status === 200, 'the configuration is accepted');
  const first = deployment.replicas;
  demand(await until(() => first.every((r) => r.layers), 20_000), 'layers are placed');
  await sleep(3000);
  const headers = {
    'Token-Usage': '760,150',
    'Prefix-Hash': '5c1e07a2:40,91bd3f06:720',
    Model: 'daka510000',
  };
  const client = new Client(deployment, {
    path: '/advice/',
    perSecond: 40,
    method: 'POST',
    headers,
  });
  await sleep(1000);
  let broken = 0;
  for (let i = 0; i < rounds; i += 1) {
    const replica = await deployment.addReplica(LeavingReplica, { workMs: 400 });
    demand(await until(() => replica.layers, 12_000), 'the new replica is loaded');
    if (!hasTrouble) {
      await sleep(1500);
      await replica.leave();
    }
    demand(await until(() => replica.acknowledged, 5000), 'it is acknowledged');
    const { at } = replica.acknowledged;
    // It serves on for `drainMs` and a little longer, and exits.
    await sleep(drainMs + 2500);
    const late = replica.runs.filter((r) => r.at > at + drainMs);
    record.write('round', {
      replica: replica.id,
      runs: replica.runs.length,
      after: replica.runs.filter((r) => r.at > at).length,
      late: late.length,
      firstLateMs: late[0] && Math.round(late[0].at - at),
    });
    broken += late.length > 0 ? 1 : 0;
    replica.close();
    await sleep(500);
  }
  client.stop();
  const served = client.sent.filter((r) => r.status === 200).length;
  record.write('requests', { sent: client.sent.length, served, broken });
  return broken > 0;
});
