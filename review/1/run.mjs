/**
 * While a machine of the core is being replaced, the new one first, the voter set has an even size.
 * A voter that stands still for four seconds then is taken out of the set for ever. Once the old
 * machine has been stopped, as planned, the loss of one disk ends the service for good.
 */

import { fileURLToPath } from 'node:url';
import {
  Client,
  Replica,
  call,
  callControl,
  configuration,
  demand,
  hasTrouble,
  now,
  ports,
  runCase,
  sleep,
  until,
} from '../lib.mjs';

/** `node_freeze` of a core machine in the site file. */
const freezeMs = 4000;

/** `catchUpS`, for which a machine counts as lost after it is back or new, and some more. */
const catchUpMs = 4000 + 3000;

/** How long the machine that loses its disk is down; `after_ack_wipe` in the site file. */
const wipeDownMs = 1000;

/** `recoverS`. */
const recoverMs = 12_000;

/** The operator reads for this long, once all machines have been back for `recoverS`. */
const readMs = 6000;

await runCase(fileURLToPath(new URL('.', import.meta.url)), async (create, record) => {
  const deployment = await create({ voters: 3, entries: 2 });
  const isFormed = (size) => async () => {
    const running = deployment.voters.filter((v) => v.child);
    const gauges = await Promise.all(running.map((v) => v.metrics().catch(() => ({}))));
    return gauges.every((g) => g.voter_votes === 1 && g.voter_members === size);
  };
  const writeGauges = async () => {
    for (const voter of deployment.voters.filter((v) => v.child)) {
      const g = await voter.metrics().catch(() => ({}));
      record.write('gauges', {
        machine: voter.name,
        leads: g.voter_leads,
        votes: g.voter_votes,
        members: g.voter_members,
      });
    }
  };
  const replace = async (version) => {
    const targets = deployment.voters.filter((v) => v.child).map((v) => v.ip);
    const path = '/tanagercart/Config.Replace';
    const body = configuration(version);
    const reply = await callControl({ record, targets, method: 'POST', path, body });
    demand(reply?.status === 200, `version ${version} is acknowledged`);
    record.write('acknowledged', { version, by: reply.target });
  };
  demand(await until(isFormed(3), 15_000), 'three voters vote');
  await replace(1);
  for (let i = 0; i < 2; i += 1) await deployment.addReplica(Replica, { workMs: 60 });
  await sleep(2500);
  const client = new Client(deployment, { path: '/lookup/', perSecond: 15 });

  // A planned replacement: the new machine comes first.
  const [old, ...others] = deployment.voters;
  const added = deployment.addMachine('voter');
  await added.start(false);
  demand(await until(isFormed(4), 15_000), 'the new machine votes');
  await sleep(catchUpMs);
  await writeGauges();

  // Meanwhile one machine stands still, which is all that is lost at that time.
  const leader = await deployment.leader();
  const frozen = others.find((v) => v !== leader);
  const wiped = others.find((v) => v !== frozen);
  if (hasTrouble) {
    frozen.signal('SIGSTOP');
    await sleep(freezeMs);
    frozen.signal('SIGCONT');
  } else await sleep(freezeMs);
  await sleep(catchUpMs);
  await writeGauges();

  // The old machine is stopped, and the settings name the new one.
  deployment.seeds = [...others, added].map((m) => m.ip);
  await deployment.writeSettings();
  old.signal('SIGTERM');
  demand(await until(() => old.child === undefined, 8000), 'the old machine stops');
  await sleep(catchUpMs + 3000);
  await writeGauges();
  await replace(2);

  // One machine loses its disk, right after a change was acknowledged.
  await replace(3);
  await wiped.kill();
  await wiped.wipe();
  await sleep(wipeDownMs);
  await wiped.start(false);
  const backAt = now();
  await sleep(recoverMs);
  await writeGauges();
  let newest = 0;
  while (now() < backAt + recoverMs + readMs) {
    for (const voter of deployment.voters.filter((v) => v.child)) {
      try {
        const address = `${voter.ip}:${ports.control}`;
        const reply = await call({ address, path: '/tanagercart/Config.Read', timeoutMs: 3000 });
        const version = reply.status === 200 ? JSON.parse(reply.body).version : undefined;
        record.write('read', { machine: voter.name, status: reply.status, version });
        newest = Math.max(newest, version ?? 0);
      } catch (e) {
        record.write('read', { machine: voter.name, error: e.message });
      }
    }
    await sleep(200);
  }
  client.stop();
  const late = client.sent.filter((r) => r.at > backAt + recoverMs && r.doneAt !== undefined);
  const served = late.filter((r) => r.status === 200).length;
  record.write('after recovery', { newest, requests: late.length, served });
  return newest < 3;
});
