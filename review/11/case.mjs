import { once } from 'node:events';
import http from 'node:http';
import { dirname, join } from 'node:path';
import { fileURLToPath } from 'node:url';
import { Replica, documentOf, newId, now, runCase, sleep, trouble } from '../rig-3.mjs';

/** Events of a stream, and the pause between them. */
const eventCount = 40;
const pauseMs = 100;
/** Streams in progress when the entry is killed. */
const streamCount = 320;
/** One answer of so many has no length, at three of the five replicas. */
const unframedEvery = 20;

const eventOf = (id, n) => `id: ${n}\ndata: ${id} ${n}\n\n`;
const wholeOf = (id) => Array.from({ length: eventCount }, (_, i) => eventOf(id, i + 1)).join('');

/** Asks for a stream and reads it to its end; `isComplete` as HTTP has it. */
function askStream(entry, id, onHead) {
  const sentAt = now();
  return new Promise((done) => {
    const request = http.request({
      host: entry,
      port: 8227,
      method: 'POST',
      path: `/advice/${id}`,
      agent: false,
      headers: {
        Host: 'figs.example',
        'Attempt-Id': id,
        'Deadline-Ms': '20000',
        Authorization: 'Token key-of-quay',
        'Content-Length': 4,
      },
    });
    request.on('error', (e) => done({ id, sentAt, status: 0, error: e.message, text: '' }));
    request.on('response', (response) => {
      const { headers } = response;
      const framing = headers['content-length'] ?? headers['transfer-encoding'] ?? 'none';
      onHead(framing);
      let text = '';
      let error;
      response.setEncoding('utf8');
      response.on('data', (part) => {
        text += part;
      });
      response.on('error', (e) => {
        error = e.message;
      });
      response.on('close', () => {
        const { statusCode: status, complete } = response;
        const signed = headers['response-signature'] !== undefined;
        const isComplete = complete && error === undefined;
        done({ id, sentAt, status, signed, framing, text, error, isComplete });
      });
    });
    request.end('figs');
  });
}

const record = join(dirname(fileURLToPath(import.meta.url)), 'record.txt');

await runCase(record, async (rig) => {
  await rig.startFleet({ entries: 8 });
  const answers = new Map();
  const handle = async ({ replica, request, response, id }) => {
    const { socket } = request;
    const count = (answers.get(replica.name) ?? 0) + 1;
    answers.set(replica.name, count);
    const isUnframed = !['r4', 'r5'].includes(replica.name) && count % unframedEvery === 0;
    rig.log(`${replica.id} runs ${id}, ${isUnframed ? 'without a length' : 'with chunks'}`);
    const headers = {
      'Attempt-Id': id,
      'Response-Signature': `s.${replica.id}.${id}`,
      'Content-Type': 'text/event-stream',
    };
    if (isUnframed) {
      // An answer without a length, which ends with its channel.
      response.useChunkedEncodingByDefault = false;
      response.shouldKeepAlive = false;
    }
    response.writeHead(200, headers);
    const after = Number(request.headers['last-event-id'] ?? 0);
    for (let n = after + 1; n <= eventCount; n += 1) {
      await sleep(pauseMs);
      if (socket.destroyed) return;
      response.write(eventOf(id, n));
    }
    response.end();
  };
  const engines = [1, 2, 3, 4, 5].map(
    (n) =>
      new Replica(rig, { name: `r${n}`, host: 150 + n, service: 'advice', slots: 134, handle }),
  );
  await rig.configure(
    documentOf(1, [
      {
        name: 'curing-advice',
        pathPrefix: '/advice/',
        kind: 'streaming',
        service: 'advice',
        timeoutMs: 20_000,
        latencyGoalMs: 500,
        itlTargetMs: 200,
        resumable: true,
      },
    ]),
  );
  await rig.endBootstrap();
  for (const engine of engines) await engine.start();
  await rig.awaitReady();
  await sleep(1500);

  /** For each entry, the streams without a length that it forwards. */
  const unframed = rig.entries.map(() => 0);
  const pending = [];
  for (let i = 0; i < streamCount; i += 1) {
    const at = i % rig.entries.length;
    const onHead = (framing) => {
      if (framing === 'none') unframed[at] += 1;
    };
    pending.push(askStream(rig.entries[at], newId(), onHead));
    await sleep(5);
  }
  await sleep(300);
  if (trouble) {
    const name = `entry-${1 + unframed.indexOf(Math.max(...unframed))}`;
    rig.log(`${name} gets SIGKILL; streams without a length by entry: ${unframed.join(' ')}`);
    const child = rig.children.get(name);
    child.kill('SIGKILL');
    await once(child, 'exit');
    await sleep(500);
    rig.start(name, 'entry');
  }
  const broken = [];
  for (const r of await Promise.all(pending)) {
    const isWhole = r.text === wholeOf(r.id);
    const last = /id: (\d+)\n[^\n]*\n\n$/.exec(r.text)?.[1] ?? 'none';
    const end = r.isComplete ? 'ends as complete' : `broken off (${r.error})`;
    const seen = `${r.id}, sent at ${r.sentAt}: ${r.status}, signed ${r.signed}, framing ${r.framing}, ${end} after event ${last} of ${eventCount}`;
    rig.log(seen);
    if (r.status === 200 && r.isComplete && !isWhole) broken.push(seen);
  }
  return broken;
});
