// Replicas answer without a length, and some of their answers are reset on the way. No client may get such
// a part of an answer as a complete success.
import net from 'node:net';
import {
  attemptId,
  configOf,
  parseAnswer,
  rawExchange,
  Replica,
  runCase,
  sleep,
  trouble,
} from '../rig-2.mjs';

const host = 'desk.example';
const key = 'key-of-quay-1';
/** Time before the disruption, its length (`for_s` in the site file), and time after it. */
const calmS = 4;
const troubleS = 5;
const clients = 12;
const pauseMs = 80;
/** `garble` with `how = "unframed"` in the site file: half of the replicas, and x of their answers. */
const replicaShare = 0.5;
const answerShare = 0.05;
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

/** What a replica answers; each run says which one it is. */
const textOf = (id, replica) => `answer to ${id} by ${replica}: ${'tray '.repeat(120)}end`;

/** A replica whose answers end with their channel. */
class Unframed extends Replica {
  async start() {
    this.born = Date.now();
    this.id = `i-${process.pid.toString(36)}${this.place.host.split('.')[3]}`;
    this.sequence = 0;
    this.state = 'ready';
    this.server = net.createServer((socket) => this.take(socket));
    await new Promise((r) => this.server.listen(this.place.port, this.place.host, r));
    this.isUp = true;
    void this.beat(this.id);
  }
  take(socket) {
    let text = '';
    socket.setNoDelay(true);
    this.sockets.add(socket);
    socket.on('error', () => undefined);
    socket.on('close', () => this.sockets.delete(socket));
    socket.on('data', (bytes) => {
      text += bytes.toString('latin1');
      const at = text.indexOf('\r\n\r\n');
      if (at < 0) return;
      const length = Number(/\r\ncontent-length: (\d+)/i.exec(text)?.[1] ?? 0);
      if (text.length < at + 4 + length) return;
      const head = text.slice(0, at);
      text = '';
      void this.reply(socket, head);
    });
  }
  async reply(socket, head) {
    const field = (name) => new RegExp(`\r\n${name}: ([^\r]*)`, 'i').exec(head)?.[1];
    const id = field('Attempt-Id');
    if (field('Expected-Instance') !== this.id) {
      socket.end(
        `HTTP/1.1 421 Misdirected\r\nAttempt-Id: ${id}\r\nContent-Length: 0\r\nConnection: close\r\n\r\n`,
      );
      return;
    }
    const [, path] = head.split(' ');
    if (path === '/tanagercart/report' || path === '/healthz') {
      const body = JSON.stringify({
        busy: false,
        sequence: 0,
        queued: 0,
        active: 0,
        born: this.born,
      });
      socket.end(
        `HTTP/1.1 200 OK\r\nInstance-Id: ${this.id}\r\nContent-Length: ${body.length}\r\nConnection: close\r\n\r\n${body}`,
      );
      return;
    }
    await sleep(20 + Math.random() * 40);
    if (socket.destroyed) return;
    const body = textOf(id, this.id);
    const whole = `HTTP/1.1 200 OK\r\nAttempt-Id: ${id}\r\nResponse-Signature: sig.${this.id}.${id}\r\nConnection: close\r\n\r\n`;
    const isBroken = this.breaksOff && this.rig.isTroubled && Math.random() < answerShare;
    if (!isBroken) {
      this.rig.runs.push({ id, replica: this.id, broken: false });
      this.rig.record.add(`replica ${this.id} runs ${id} and answers with ${body.length} bytes`);
      socket.end(whole + body);
      return;
    }
    const cut = 40 + Math.floor(Math.random() * (body.length - 80));
    this.rig.runs.push({ id, replica: this.id, broken: true });
    this.rig.record.add(
      `replica ${this.id} runs ${id}, sends ${cut} of ${body.length} bytes of its answer and resets the channel`,
    );
    socket.write(whole + body.slice(0, cut));
    socket.resetAndDestroy();
  }
}

await runCase({
  async run(rig) {
    const { record } = rig;
    rig.runs = [];
    for (let i = 0; i < 4; i += 1) {
      const replica = new Unframed(rig, 'desk', { zone: `zone-${'abc'[i % 3]}` });
      replica.breaksOff = i < 4 * replicaShare;
      await replica.start();
    }
    const config = configOf(1, routes, ['desk'], [{ name: 'quay', apiKeys: [key], priority: 1 }]);
    if ((await rig.replaceConfig(config)) !== 200) return { text: 'no configuration was accepted' };
    if (!(await rig.awaitReady())) return { text: 'the entries were not ready' };
    await sleep(3000);
    const ends = {};
    const wrong = [];
    const until = Date.now() + (2 * calmS + troubleS) * 1000;
    const disturb = async () => {
      await sleep(calmS * 1000);
      rig.isTroubled = trouble;
      await sleep(troubleS * 1000);
      rig.isTroubled = false;
    };
    const one = async (number) => {
      const id = attemptId();
      const isOrder = Math.random() < 0.6;
      const entry = rig.entries[number % rig.entries.length];
      const body = isOrder ? '{"trays":40}' : '';
      const target = isOrder ? 'POST /order/1' : 'GET /lookup/1';
      const head = `${target} HTTP/1.1\r\nHost: ${host}\r\nAttempt-Id: ${id}\r\nDeadline-Ms: 2000\r\nAuthorization: Token ${key}\r\nConnection: close\r\n${isOrder ? `Content-Length: ${body.length}\r\n` : ''}\r\n`;
      record.add(`client: sends ${id} ${target} to ${entry.name}`);
      const answer = await rawExchange(`${entry.ip}:${rig.ports.frontend}`, head + body, 4000);
      const { status, headers, body: text, isComplete } = parseAnswer(answer);
      const what = `${status ?? 'none'}${isComplete ? '' : ', incomplete'}`;
      ends[what] = (ends[what] ?? 0) + 1;
      if (status !== 200 || !isComplete) {
        record.add(`client: ${id} ${target} at ${entry.name} -> ${what}`);
        return;
      }
      const replica = headers['response-signature']?.split('.')[1];
      if (text === textOf(id, replica)) {
        record.add(`client: ${id} at ${entry.name} -> 200, whole`);
        return;
      }
      wrong.push(id);
      record.add(
        `client: ${id} ${target} at ${entry.name} -> 200, complete by the end of its channel (${answer.end}), but with ${text.length} of ${textOf(id, replica).length} bytes of the answer of ${replica}`,
      );
    };
    const loop = async (number) => {
      while (Date.now() < until) {
        await one(number);
        await sleep(pauseMs * (0.5 + Math.random()));
      }
    };
    await Promise.all([disturb(), ...Array.from({ length: clients }, (_, i) => loop(i))]);
    const broken = rig.runs.filter((r) => r.broken).length;
    const text = `${rig.runs.length} runs, ${broken} answers reset on the way; ${wrong.length} of them reached a client as a complete success; answers: ${JSON.stringify(ends)}`;
    if (!ends['200']) return { text };
    return { broken: wrong.length > 0, text };
  },
});
