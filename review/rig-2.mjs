// Stand-ins for the scripts of the second review: a small deployment of the project's own programs
// as separate processes on loopback addresses, an operator, replicas and clients. They follow
// PROTOCOL.md; where that page is silent they behave like sound ones.

import { spawn } from 'node:child_process';
import { createWriteStream } from 'node:fs';
import { mkdir, mkdtemp, readFile, rm, writeFile } from 'node:fs/promises';
import http from 'node:http';
import net from 'node:net';
import { tmpdir } from 'node:os';
import { dirname, join, resolve } from 'node:path';
import { fileURLToPath } from 'node:url';

export const sleep = (ms) => new Promise((r) => setTimeout(r, ms));
const root = resolve(dirname(fileURLToPath(import.meta.url)), '..');
export const trouble = process.env.TROUBLE !== '0';

/** The record that is being written. */
let written;

/** Writes what was sent, answered and run to the file that `run.sh` names, `record.txt` in its folder. */
export class Record {
  constructor(path) {
    this.startedAt = Date.now();
    this.file = createWriteStream(path, { flags: 'a' });
    written = this;
  }
  get ms() {
    return Date.now() - this.startedAt;
  }
  add(text) {
    this.file.write(`${(this.ms / 1000).toFixed(3).padStart(8)} s  ${text}\n`);
  }
  end() {
    return new Promise((done) => {
      this.file.end(done);
    });
  }
}

function freePort(host) {
  return new Promise((ok, no) => {
    const server = net.createServer();
    server.once('error', no);
    server.listen(0, host, () => {
      const { port } = server.address();
      server.close(() => ok(port));
    });
  });
}

/** The bounds of the small sites. */
const bounds = {
  seedLagS: 3,
  reuseAfterS: 2,
  contactMs: 3000,
  ackMs: 4000,
  catchUpS: 4,
  drainMs: 2000,
  graceS: 8,
  lossSlackMs: 200,
  configApplyMs: 2000,
  rollbackSlackMs: 250,
  maxSkewMs: 5000,
  revokeFailClosed: true,
  revokeMs: 5000,
  retryBudgetRatio: 0.2,
  budgetWindowS: 10,
  budgetSlack: 200,
  recoverS: 12,
  iterationMs: 120,
  retryAfterS: 0,
  stall_ms: 2000,
  fencingEnforced: true,
  ttl_max_s: 5,
};

/** Reads the commands of the roles from the deploy file. */
async function commandOf(role) {
  const text = await readFile(join(root, 'deploy/system.toml'), 'utf8');
  const section = text.split(`[roles.${role}]`)[1];
  return /^run = "([^"]+)"/m.exec(section)[1].split(' ');
}

/** The running processes of the system; they end with this one, however it ends. */
const running = new Set();
process.on('exit', () => {
  for (const child of running) {
    child.kill('SIGKILL');
  }
});
/** Ends a run that can't go on, with its record kept. */
function leave(why) {
  process.stdout.write(`could not run: ${why}\n`);
  written?.add(`could not run: ${why}`);
  setTimeout(() => process.exit(2), 1000);
  void (written?.end() ?? Promise.resolve()).then(() => process.exit(2));
}
for (const signal of ['SIGTERM', 'SIGINT', 'SIGHUP']) {
  process.on(signal, () => leave(signal));
}
process.on('uncaughtException', (e) => leave(e.stack));

/** One machine with one process of the system. */
export class Machine {
  constructor(rig, name, role, ip, settings) {
    Object.assign(this, { rig, name, role, ip, settings });
    this.file = join(rig.folder, `${name}.toml`);
    this.log = createWriteStream(join(rig.folder, `${name}.log`));
  }
  /** Writes the settings file and starts the process. */
  async start() {
    await writeFile(this.file, this.settings);
    const [program, ...args] = await commandOf(this.role);
    const { PATH, HOME, LANG } = process.env;
    const child = spawn(program, args, {
      cwd: root,
      env: { PATH, HOME, LANG, TANAGERCART_BOOT: this.file },
      stdio: ['ignore', 'pipe', 'pipe'],
    });
    this.child = child;
    running.add(child);
    child.stdout.pipe(this.log, { end: false });
    child.stderr.pipe(this.log, { end: false });
    child.once('exit', (code, signal) => {
      running.delete(child);
      this.rig.record.add(`platform: process of ${this.name} has ended (${code ?? signal})`);
      if (this.child === child) this.child = undefined;
    });
    this.rig.record.add(`platform: started ${this.name} at ${this.ip}`);
  }
  signal(name) {
    this.rig.record.add(`platform: ${name} to ${this.name}`);
    this.child?.kill(name);
  }
  /** Kills the process, and starts it again after `downMs`. */
  async restart(downMs) {
    const { child } = this;
    if (!child) return;
    const ended = new Promise((r) => {
      child.once('exit', r);
    });
    this.signal('SIGKILL');
    await ended;
    this.settings = this.settings.replace('bootstrap = true', 'bootstrap = false');
    await sleep(downMs);
    await this.start();
  }
}

/** One HTTP exchange on a channel of its own. */
export function exchange(address, method, path, headers, body, timeoutMs) {
  const [host, port] = address.split(':');
  return new Promise((ok) => {
    const request = http.request({
      host,
      port,
      method,
      path,
      headers: {
        ...headers,
        ...(body === undefined ? {} : { 'Content-Length': Buffer.byteLength(body) }),
      },
      agent: false,
    });
    const timer = setTimeout(() => request.destroy(new Error('no response in time')), timeoutMs);
    request.on('error', (e) => {
      clearTimeout(timer);
      ok({ error: e.message });
    });
    request.on('response', (response) => {
      const parts = [];
      response.on('data', (b) => parts.push(b));
      response.on('error', () => undefined);
      response.on('close', () => {
        clearTimeout(timer);
        ok({
          status: response.statusCode,
          headers: response.headers,
          body: Buffer.concat(parts).toString(),
          complete: response.complete,
          error: response.complete ? undefined : 'broken off',
        });
      });
    });
    request.end(body);
  });
}

/** Voters, entries, and all stand-ins of one run. */
export class Rig {
  static async create(recordPath, { voters = 3, entries = 2, heartbeatMs = 1200 } = {}) {
    const rig = new Rig();
    rig.record = new Record(recordPath);
    rig.folder = await mkdtemp(join(tmpdir(), 'review-'));
    rig.heartbeatMs = heartbeatMs;
    const block = `127.${20 + (process.pid % 200)}.${1 + Math.floor(Math.random() * 250)}`;
    rig.block = block;
    rig.nextHost = 100;
    const ports = { frontend: 0, readiness: 0, control: 0, discovery: 0, peer: 0 };
    for (const name of Object.keys(ports)) ports[name] = await freePort(`${block}.1`);
    // Two ports in a row, for the traffic between nodes.
    ports.peer = 7340;
    rig.ports = ports;
    const voterIps = Array.from({ length: voters }, (_, i) => `${block}.${10 + i}`);
    const entryIps = Array.from({ length: entries }, (_, i) => `${block}.${30 + i}`);
    rig.seeds = voterIps.slice(0, 3).map((ip) => `${ip}:${ports.control}`);
    rig.controls = voterIps.map((ip) => `${ip}:${ports.control}`);
    const zones = ['zone-a', 'zone-b', 'zone-c'];
    const settings = (name, role, klass, ip, i, listen, disk) => `nodeName = "${name}"
role = "${role}"
machineClass = "${klass}"
serves = ["${klass === 'core' ? 'control' : 'edge", "registry'}"]
ip = "${ip}"
zone = "${zones[i % 3]}"
region = "north"
internalPorts = [${ports.peer},${ports.peer + 15}]
seeds = [${rig.seeds.map((s) => `"${s}"`).join(',')}]
bootstrap = true
lossCounts = ${klass === 'core'}
discovery = "registration"
entry = "registry"
heartbeatMs = ${heartbeatMs}
contracts = ["base","drain","config","cost","retry","recover","engine","stream","tenants","layers"]
configMode = "highest"
${disk ? `dataDir = "${disk}"\n` : ''}[zones]
zone-a = "north"
zone-b = "north"
zone-c = "north"
[listen]
${listen}
[limits]
cpuShare = 1.0
cpuCores = 1
memoryMb = 350
maxFds = 4200
linkMbps = 1000.0
diskMb = ${disk ? 128 : 0}
[faultTolerance]
machines = 1
zones = 0
regions = 0
[bounds]
${Object.entries(bounds)
  .map(([k, v]) => `${k} = ${v}`)
  .join('\n')}
`;
    rig.voters = voterIps.map((ip, i) => {
      const disk = join(rig.folder, `disk-${i + 1}`);
      const listen = `controlPlane = "${ip}:${ports.control}"`;
      const name = `core-${i + 1}`;
      return new Machine(
        rig,
        name,
        'voter',
        ip,
        settings(name, 'voter', 'core', ip, i, listen, disk),
      );
    });
    rig.entries = entryIps.map((ip, i) => {
      const listen = `frontend = "${ip}:${ports.frontend}"\nreadiness = "${ip}:${ports.readiness}"\ndiscoveryAddress = "${ip}:${ports.discovery}"`;
      const name = `edge-${i + 1}`;
      return new Machine(rig, name, 'entry', ip, settings(name, 'entry', 'edge', ip, i, listen));
    });
    rig.replicas = [];
    for (const i of voterIps.keys()) await mkdir(join(rig.folder, `disk-${i + 1}`));
    for (const machine of [...rig.voters, ...rig.entries]) await machine.start();
    return rig;
  }

  /** Adds an empty core machine at a new address, in the place of `gone`. */
  async replaceVoter(gone) {
    const ip = `${this.block}.${20 + this.voters.length}`;
    const name = `core-${this.voters.length + 1}`;
    const disk = join(this.folder, `disk-${name}`);
    await mkdir(disk);
    const settings = gone.settings
      .replaceAll(`"${gone.name}"`, `"${name}"`)
      .replaceAll(gone.ip, ip)
      .replace('bootstrap = true', 'bootstrap = false')
      .replace(/^dataDir = .*$/m, `dataDir = "${disk}"`);
    const machine = new Machine(this, name, 'voter', ip, settings);
    this.voters.push(machine);
    this.controls = this.controls.filter((c) => !c.startsWith(`${gone.ip}:`));
    this.controls.push(`${ip}:${this.ports.control}`);
    await machine.start();
    return machine;
  }

  /** Asks an entry whether it is ready. */
  async isReady(machine) {
    const reply = await exchange(
      `${machine.ip}:${this.ports.readiness}`,
      'GET',
      '/tanagercart/readyz',
      {},
      undefined,
      1000,
    );
    return reply.status === 200;
  }

  async awaitReady(withinMs = 30_000) {
    const until = Date.now() + withinMs;
    while (Date.now() < until) {
      const ready = await Promise.all(this.entries.map((e) => this.isReady(e)));
      if (ready.every(Boolean)) return true;
      await sleep(100);
    }
    return false;
  }

  /** Sends a call to the voters, as operators and replicas do: on to another after a failure. */
  async control(method, path, body, who, withinMs = 45_000) {
    const until = Date.now() + withinMs;
    let pause = 50;
    let others = 0;
    for (let i = Math.floor(Math.random() * 3); Date.now() < until; i += 1) {
      const address = this.controls[i % this.controls.length];
      const reply = await exchange(
        address,
        method,
        path,
        { 'Content-Type': 'application/json' },
        body,
        1000,
      );
      const { status } = reply;
      if (who) {
        this.record.add(`${who}: ${method} ${path} at ${address} -> ${status ?? reply.error}`);
      }
      if (status !== undefined && status < 300) return reply;
      if ([400, 409, 412, 413, 422].includes(status)) return reply;
      if (status >= 400 && status < 500 && ![408, 429].includes(status)) {
        others += 1;
        if (others >= 3) return reply;
      }
      await sleep(pause);
      pause = Math.min(1000, pause * 1.5);
    }
    return { status: undefined, error: 'no clear response' };
  }

  /** Sends a configuration until there is a clear response; resolves to the status. */
  async replaceConfig(config, withinMs) {
    const reply = await this.control(
      'POST',
      '/tanagercart/Config.Replace',
      JSON.stringify(config),
      `operator, version ${config.version}`,
      withinMs,
    );
    return reply.status;
  }

  async readConfig() {
    const reply = await this.control('GET', '/tanagercart/Config.Read', undefined, 'operator');
    return reply.status === 200 ? JSON.parse(reply.body) : undefined;
  }

  /** An address of its own for a replica. */
  replicaAddress() {
    this.nextHost += 1;
    return { host: `${this.block}.${this.nextHost}`, port: 8080 };
  }

  /** Ends all processes and stand-ins. */
  async end() {
    for (const replica of this.replicas) replica.end();
    const machines = [...this.voters, ...this.entries];
    await Promise.all(
      machines.map(async (m) => {
        const { child } = m;
        if (!child) return;
        const ended = new Promise((r) => child.once('exit', r));
        child.kill('SIGKILL');
        await ended;
      }),
    );
    if (process.env.KEEP) this.record.add(`kept ${this.folder}`);
    else await rm(this.folder, { recursive: true, force: true });
    await this.record.end();
  }
}

let lifetimes = 0;

/**
 * A replica of a plain service. `serve(request, response, body, replica)` answers a request. Each
 * start is a new lifetime with a new id at the same address.
 */
export class Replica {
  constructor(rig, service, { zone = 'zone-a', slots = 6, serve, keepsId = false }) {
    Object.assign(this, { rig, service, zone, slots, serve, keepsId });
    this.place = rig.replicaAddress();
    this.sockets = new Set();
    rig.replicas.push(this);
  }
  get address() {
    return `${this.place.host}:${this.place.port}`;
  }
  async start() {
    lifetimes += 1;
    if (!this.id || !this.keepsId) {
      this.id = `i-${process.pid.toString(36)}${lifetimes.toString(36).padStart(4, '0')}`;
    }
    this.born = Date.now();
    this.sequence = 0;
    this.state = 'ready';
    const { id } = this;
    this.server = http.createServer((request, response) => {
      const parts = [];
      request.on('data', (b) => parts.push(b));
      request.on('error', () => undefined);
      response.on('error', () => undefined);
      request.on('end', () => this.handle(request, response, Buffer.concat(parts), id));
    });
    this.server.on('connection', (socket) => {
      this.sockets.add(socket);
      socket.on('error', () => undefined);
      socket.on('close', () => this.sockets.delete(socket));
    });
    await new Promise((r) => this.server.listen(this.place.port, this.place.host, r));
    this.isUp = true;
    this.rig.record.add(`replica ${id} of ${this.service} is up at ${this.address}`);
    void this.beat(id);
  }
  handle(request, response, body, id) {
    const expected = request.headers['expected-instance'];
    const echo = { 'Attempt-Id': request.headers['attempt-id'] ?? '' };
    if (expected !== undefined && expected !== id) {
      response.writeHead(421, echo);
      response.end();
      return;
    }
    const path = request.url.split('?')[0];
    if (path === '/healthz') {
      response.writeHead(this.state === 'ready' ? 200 : 503, { 'Instance-Id': id });
      response.end();
      return;
    }
    if (path === '/tanagercart/report') {
      response.writeHead(200, { 'Content-Type': 'application/json' });
      response.end(
        JSON.stringify({
          phase: 'serving',
          models: [],
          busy: false,
          sequence: 0,
          queued: 0,
          active: 0,
          born: this.born,
        }),
      );
      return;
    }
    this.serve(request, response, body, this);
  }
  /** Answers with a signed 200. */
  answer(request, response, text) {
    if (response.destroyed) return;
    const body = Buffer.from(text);
    response.writeHead(200, {
      'Attempt-Id': request.headers['attempt-id'] ?? '',
      'Response-Signature': `sig.${this.id}.${body.length}`,
      'Content-Length': body.length,
    });
    response.end(body);
  }
  async beat(id) {
    while (this.isUp && this.id === id) {
      this.sequence += 1;
      const body = {
        service: this.service,
        address: this.address,
        zone: this.zone,
        version: 'v1',
        slots: this.slots,
        state: this.state,
        coldRemainingMs: 0,
        sequence: this.sequence,
        born: this.born,
      };
      await this.rig.control(
        'POST',
        `/tanagercart/Instances.Heartbeat/${id}`,
        JSON.stringify(body),
        undefined,
        this.rig.heartbeatMs,
      );
      await sleep(this.rig.heartbeatMs * (0.9 + Math.random() * 0.2));
    }
  }
  /** Crashes: all channels are reset, and nothing listens any more. */
  crash() {
    if (!this.isUp) return;
    this.isUp = false;
    this.rig.record.add(`replica ${this.id} crashes`);
    this.server.close();
    for (const socket of this.sockets) socket.resetAndDestroy();
  }
  /** Crashes and is back after `downMs`. */
  async crashFor(downMs) {
    if (!this.isUp) return;
    this.crash();
    await sleep(downMs);
    if (!this.isEnded) await this.start();
  }
  end() {
    this.isEnded = true;
    this.isUp = false;
    this.server?.close();
    for (const socket of this.sockets) socket.destroy();
  }
}

let attempts = 0;

/** A new id of a client attempt. */
export function attemptId() {
  attempts += 1;
  return `${Date.now().toString(16)}${process.pid.toString(16).padStart(6, '0')}${attempts.toString(16).padStart(4, '0')}`;
}

/** A configuration with the routes, services and tenants given. */
export function configOf(version, routes, services, tenants) {
  return {
    version,
    routes,
    services: services.map((name) => ({
      name,
      healthPath: '/healthz',
      maxConnections: 110,
      protocol: 'h1',
      tls: false,
    })),
    limits: {
      maxHeaderBytes: 16384,
      maxBodyBytes: 4194304,
      headerTimeoutMs: 3000,
      idleTimeoutMs: 15000,
    },
    ...(tenants === undefined ? {} : { tenants }),
  };
}

/** Runs a case: exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run. */
export async function runCase(body) {
  let code = 2;
  const guard = setTimeout(() => leave('the time is over'), 115_000);
  let rig;
  const ends = async () => {
    clearTimeout(guard);
    if (rig) await rig.end();
    process.exit(code);
  };
  try {
    const [, , recordPath] = process.argv;
    rig = await Rig.create(recordPath, body.options ?? {});
    const outcome = await body.run(rig);
    rig.record.add(`result: ${outcome.text}`);
    process.stdout.write(`${outcome.text}\n`);
    if (outcome.broken !== undefined) {
      code = outcome.broken ? 1 : 0;
    }
  } catch (e) {
    process.stdout.write(`could not run: ${e.stack}\n`);
    rig?.record.add(`could not run: ${e.message}`);
  }
  await ends();
}

/** Waits; resolves to whether the time has passed without an abort. */
function sleepUnless(ms, signal) {
  return new Promise((done) => {
    const timer = setTimeout(() => done(true), ms);
    signal.addEventListener('abort', () => {
      clearTimeout(timer);
      done(false);
    });
  });
}

/**
 * Sends a request over a channel of its own and reads to the channel's end. `end` tells how that was:
 * `closed`, or `reset`. A reset that arrives together with the last bytes looks like a close to Node.js,
 * so a byte is written after it: that fails on a channel that was reset.
 */
export function rawExchange(address, text, timeoutMs) {
  const [host, port] = address.split(':');
  return new Promise((ok) => {
    const parts = [];
    const socket = net.createConnection({ host, port: Number(port), allowHalfOpen: true });
    const over = new AbortController();
    const done = (end) => {
      over.abort();
      socket.destroy();
      ok({ bytes: Buffer.concat(parts), end });
    };
    sleepUnless(timeoutMs, over.signal).then((isOver) => isOver && done('timeout'));
    socket.setNoDelay(true);
    socket.on('data', (b) => parts.push(b));
    socket.on('error', () => done('reset'));
    socket.on('end', () => socket.write('\r\n', (e) => done(e ? 'reset' : 'closed')));
    socket.write(text);
  });
}

/** Parses an answer; `isComplete` is false where its length or its last chunk is missing. */
export function parseAnswer({ bytes, end }) {
  const at = bytes.indexOf('\r\n\r\n');
  if (at < 0) return { status: undefined, headers: {}, body: '', isComplete: false };
  const [line, ...fields] = bytes.subarray(0, at).toString('latin1').split('\r\n');
  const headers = Object.fromEntries(
    fields.map((f) => [
      f.slice(0, f.indexOf(':')).toLowerCase(),
      f.slice(f.indexOf(':') + 1).trim(),
    ]),
  );
  const rest = bytes.subarray(at + 4);
  const status = Number(line.split(' ')[1]);
  if (headers['transfer-encoding'] === 'chunked') {
    let body = '';
    let from = 0;
    for (;;) {
      const eol = rest.indexOf('\r\n', from);
      const size = eol < 0 ? NaN : parseInt(rest.subarray(from, eol).toString(), 16);
      if (Number.isNaN(size) || eol + 2 + size + 2 > rest.length) {
        return { status, headers, body, isComplete: false };
      }
      if (size === 0) return { status, headers, body, isComplete: true };
      body += rest.subarray(eol + 2, eol + 2 + size).toString();
      from = eol + 2 + size + 2;
    }
  }
  const body = rest.toString();
  const length = headers['content-length'];
  if (length !== undefined) {
    return { status, headers, body, isComplete: rest.length === Number(length) };
  }
  return { status, headers, body, isComplete: end === 'closed' };
}
