/**
 * Rig of the cases 11 to 15: starts the project's programs with the commands of the deploy file on
 * loopback addresses, and has small stand-ins for replicas, clients and the operator. Plain Node.js,
 * no dependencies, nothing to build.
 */

import { spawn } from 'node:child_process';
import { once } from 'node:events';
import { createWriteStream } from 'node:fs';
import { access, mkdtemp, readFile, rm, writeFile } from 'node:fs/promises';
import http from 'node:http';
import net from 'node:net';
import { tmpdir } from 'node:os';
import { dirname, join, resolve } from 'node:path';
import { fileURLToPath } from 'node:url';

export const sleep = (ms) => new Promise((done) => setTimeout(done, ms));

const root = resolve(dirname(fileURLToPath(import.meta.url)), '..');
/** Whether the disruption takes place. */
export const trouble = process.env.TROUBLE !== '0';

/** Ports; processes differ by address. */
const ports = { frontend: 8227, readiness: 8220, discovery: 8221, control: 8229, first: 7340 };
export const replicaPort = 8080;

/** A case that could not run. */
export class CannotRun extends Error {}

const startedAt = performance.now();
/** Time since the start of the case, in milliseconds. */
export const now = () => Math.round(performance.now() - startedAt);

/** The command of a role in the deploy file, as words. */
async function commandOf(role) {
  const text = await readFile(join(root, 'deploy/system.toml'), 'utf8');
  const section = text.split(/^\[roles\./m).find((s) => s.startsWith(`${role}]`)) ?? '';
  const run = /^run = "([^"]*)"/m.exec(section);
  if (!run) throw new CannotRun(`no command for the role ${role}`);
  return run[1].split(' ');
}

/** Whether an address can be listened on at the ports of the rig. */
async function isFree(address) {
  const server = net.createServer();
  const listening = new Promise((done) => {
    server.once('listening', () => done(true)).once('error', () => done(false));
  });
  server.listen(ports.control, address);
  const free = await listening;
  server.close();
  return free;
}

/** A network of loopback addresses that nobody uses. */
async function freeNetwork() {
  for (let tries = 0; tries < 50; tries += 1) {
    const prefix = `127.${60 + Math.floor(Math.random() * 180)}.${Math.floor(Math.random() * 250)}`;
    if (await isFree(`${prefix}.1`)) return prefix;
  }
  throw new CannotRun('no free loopback network');
}

/** Bounds of the users' sheets. */
export const bounds = {
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

/** Sends a request of the platform or an operator; status 0 stands for no answer. */
export function call(host, port, method, path, body, timeoutMs = 1000) {
  return new Promise((done) => {
    const request = http.request({
      host,
      port,
      method,
      path,
      agent: false,
      headers: {
        ...(body === undefined
          ? {}
          : { 'Content-Type': 'application/json', 'Content-Length': Buffer.byteLength(body) }),
      },
    });
    let timer;
    const finish = (status, text) => {
      clearTimeout(timer);
      done({ status, text });
    };
    timer = setTimeout(() => request.destroy(new Error('no answer in time')), timeoutMs);
    request.on('error', (e) => finish(0, e.message));
    request.on('response', (response) => {
      let text = '';
      response.setEncoding('utf8');
      response.on('data', (part) => {
        text += part;
      });
      response.on('end', () => finish(response.statusCode, text));
      response.on('error', (e) => finish(0, e.message));
    });
    request.end(body);
  });
}

/** The processes of one case, and its record. */
export class Rig {
  children = new Map();
  stopped = false;
  lines = [];

  constructor(folder, prefix, record) {
    this.folder = folder;
    this.prefix = prefix;
    this.record = record;
  }

  static async create(record) {
    const programs = ['entry', 'voter'].map((name) => join(root, `target/${name}.mjs`));
    await Promise.all(programs.map((file) => access(file))).catch(() => {
      throw new CannotRun('the programs are not built');
    });
    const folder = await mkdtemp(join(tmpdir(), 'case-'));
    const rig = new Rig(folder, await freeNetwork(), record);
    rig.commands = { entry: await commandOf('entry'), voter: await commandOf('voter') };
    return rig;
  }

  /** Adds a line to the record. */
  log(text) {
    this.record.write(`${String(now()).padStart(6)} ${text}\n`);
  }

  address(host) {
    return `${this.prefix}.${host}`;
  }

  /** Writes the settings of a program; `seeds` are addresses of voters. */
  async writeSettings({ name, address, role, zone, seeds, bootstrap, further = [] }) {
    const isVoter = role === 'voter';
    const listen = isVoter
      ? [`controlPlane = "${address}:${ports.control}"`]
      : [
          `frontend = "${address}:${ports.frontend}"`,
          `readiness = "${address}:${ports.readiness}"`,
          `discoveryAddress = "${address}:${ports.discovery}"`,
        ];
    const text = [
      `nodeName = "${name}"`,
      `role = "${role}"`,
      `machineClass = "${isVoter ? 'core' : 'edge'}"`,
      `serves = [${isVoter ? '"control"' : '"edge", "registry"'}]`,
      `ip = "${address}"`,
      `zone = "${zone}"`,
      'region = "mu-north"',
      `internalPorts = [${ports.first}, ${ports.first + 15}]`,
      `seeds = [${seeds.map((s) => `"${s}:${ports.control}"`).join(', ')}]`,
      `bootstrap = ${bootstrap}`,
      `lossCounts = ${isVoter}`,
      ...(isVoter ? [`dataDir = "${this.folder}/${name}.data"`] : []),
      'discovery = "registration"',
      'entry = "registry"',
      'heartbeatMs = 1200',
      'configMode = "highest"',
      '[zones]',
      'pamplemousses = "mu-north"',
      '[listen]',
      ...listen,
      '[limits]',
      'memoryMb = 350',
      'maxFds = 4200',
      '[faultTolerance]',
      'machines = 1',
      '[bounds]',
      ...Object.entries(bounds).map(([key, value]) => `${key} = ${value}`),
      ...further,
      '',
    ].join('\n');
    await writeFile(`${this.folder}/${name}.toml`, text);
  }

  /** Starts the process of a program whose settings are written. */
  start(name, role) {
    const [program, ...args] = this.commands[role];
    const { PATH, HOME, LANG } = process.env;
    const child = spawn(program, args, {
      cwd: root,
      env: { PATH, HOME, LANG, TANAGERCART_BOOT: `${this.folder}/${name}.toml` },
      stdio: ['ignore', 'pipe', 'pipe'],
    });
    const keep = (bytes) => {
      for (const line of bytes.toString().split('\n')) if (line) this.lines.push(`${name} ${line}`);
    };
    child.stdout.on('data', keep);
    child.stderr.on('data', keep);
    child.once('error', (e) => this.log(`could not start ${name}: ${e.message}`));
    child.once('exit', (code, signal) => {
      this.children.delete(name);
      if (!this.stopped) this.log(`${name} ended, code ${code}, signal ${signal}`);
    });
    this.children.set(name, child);
    return child;
  }

  /** Starts three voters and some entries, and waits until all of them work. */
  async startFleet({ entries = 2, voters = 3 } = {}) {
    this.voters = Array.from({ length: voters }, (_, i) => this.address(101 + i));
    this.entries = Array.from({ length: entries }, (_, i) => this.address(1 + i));
    this.seeds = this.voters.slice(0, 3);
    await this.writeAllSettings(true);
    this.voters.forEach((_, i) => this.start(`voter-${i + 1}`, 'voter'));
    this.entries.forEach((_, i) => this.start(`entry-${i + 1}`, 'entry'));
    this.log(`voters ${this.voters.join(' ')}, entries ${this.entries.join(' ')}`);
  }

  /** Marks the system as started, for processes that start again. */
  endBootstrap() {
    return this.writeAllSettings(false);
  }

  async writeAllSettings(bootstrap) {
    const common = { zone: 'pamplemousses', seeds: this.seeds, bootstrap };
    for (const [i, address] of this.voters.entries()) {
      await this.writeSettings({ name: `voter-${i + 1}`, address, role: 'voter', ...common });
    }
    for (const [i, address] of this.entries.entries()) {
      await this.writeSettings({ name: `entry-${i + 1}`, address, role: 'entry', ...common });
    }
  }

  /** Sends a configuration until it is acknowledged. */
  async configure(document) {
    const body = JSON.stringify(document);
    for (let i = 0; ; i += 1) {
      const to = this.voters[i % this.voters.length];
      const reply = await call(to, ports.control, 'POST', '/tanagercart/Config.Replace', body);
      if (reply.status === 200) break;
      if (now() > 30_000) throw new CannotRun(`no acknowledgement: ${reply.status} ${reply.text}`);
      await sleep(150);
    }
    this.log(`configuration ${document.version} acknowledged`);
  }

  /** Waits until every entry says that it is ready. */
  async awaitReady() {
    for (const entry of this.entries) {
      for (;;) {
        const reply = await call(entry, ports.readiness, 'GET', '/tanagercart/readyz');
        if (reply.status === 200) break;
        if (now() > 40_000) throw new CannotRun(`the entry ${entry} is not ready`);
        await sleep(100);
      }
    }
  }

  /** The voter that leads, by its metrics; undefined if none says so. */
  async leader() {
    for (const [i, voter] of this.voters.entries()) {
      const reply = await call(voter, 9464, 'GET', '/metrics');
      if (/^\S*leads\S* 1$/m.test(reply.text)) return i;
    }
    return undefined;
  }

  /** Ends all processes that this rig has started. */
  async stop() {
    this.stopped = true;
    for (const child of this.children.values()) child.kill('SIGKILL');
    await Promise.all(
      [...this.children.values()].map((c) =>
        c.exitCode === null && c.signalCode === null ? once(c, 'exit') : undefined,
      ),
    );
    if (process.env.KEEP_LOG) await writeFile(process.env.KEEP_LOG, this.lines.join('\n'));
    await rm(this.folder, { recursive: true, force: true });
  }
}

/** A configuration with plain routes to services; `routes` overrides the fields of each. */
export function documentOf(version, routes, tenants) {
  const services = [...new Set(routes.map((r) => r.service))];
  return {
    version,
    routes: routes.map((r) => ({
      host: 'figs.example',
      latencyGoalMs: 386,
      priority: 2,
      maxAttempts: 2,
      public: false,
      timeoutMs: 1500,
      ...r,
    })),
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
    tenants: tenants ?? [{ name: 'quay', apiKeys: ['key-of-quay'], priority: 2 }],
  };
}

let lastId = 0;
/** The id of a new client attempt. */
export function newId() {
  lastId += 1;
  return `${process.pid.toString(16)}${Math.floor(Math.random() * 2 ** 32)
    .toString(16)
    .padStart(8, '0')}${lastId.toString(16)}`;
}

/** Sends a request of a client to an entry; status 0 stands for a closed channel or no answer. */
export function ask(
  entry,
  {
    id = newId(),
    method = 'GET',
    path,
    body = '',
    deadlineMs = 1500,
    key = 'key-of-quay',
    agent = false,
    headers = {},
    patienceMs,
  },
) {
  const sentAt = now();
  return new Promise((done) => {
    const request = http.request({
      host: entry,
      port: ports.frontend,
      method,
      path,
      agent,
      headers: {
        Host: 'figs.example',
        'Attempt-Id': id,
        'Deadline-Ms': String(deadlineMs),
        Authorization: `Token ${key}`,
        ...(body === '' ? {} : { 'Content-Length': Buffer.byteLength(body) }),
        ...headers,
      },
    });
    let timer;
    let finished = false;
    const finish = (reply) => {
      if (finished) return;
      finished = true;
      clearTimeout(timer);
      done({ id, sentAt, tookMs: now() - sentAt, signed: false, text: '', headers: {}, ...reply });
    };
    timer = setTimeout(() => request.destroy(new Error('gave up')), patienceMs ?? deadlineMs + 500);
    request.on('error', (e) => finish({ status: 0, text: e.message }));
    request.on('response', (response) => {
      let text = '';
      response.setEncoding('utf8');
      response.on('data', (part) => {
        text += part;
      });
      response.on('close', () =>
        finish({
          status: response.complete ? response.statusCode : 0,
          signed: response.headers['response-signature'] !== undefined,
          headers: response.headers,
          text,
        }),
      );
      response.on('error', () => undefined);
    });
    request.end(body);
  });
}

/** A stand-in for a replica of a plain service: one lifetime after another at one address. */
export class Replica {
  isUp = false;
  lifetime = 0;
  state = 'ready';

  /**
   * `handle` is called with each request that names this replica and is not a status check, and the
   * response; it begins the run.
   */
  constructor(rig, { name, host, service, slots = 6, handle, fields = () => ({}) }) {
    Object.assign(this, { rig, name, service, slots, handle, fields });
    this.ip = rig.address(host);
    this.sockets = new Set();
  }

  get id() {
    return `i-${this.name}-${this.lifetime}`;
  }

  get address() {
    return `${this.ip}:${replicaPort}`;
  }

  /** Begins a new lifetime, with a new id. */
  async start() {
    this.lifetime += 1;
    this.born = Date.now();
    this.sequence = 0;
    this.state = 'ready';
    this.server = http.createServer((request, response) => this.accept(request, response));
    this.server.keepAliveTimeout = 10_000;
    this.server.on('connection', (socket) => {
      this.sockets.add(socket);
      socket.on('error', () => undefined);
      socket.on('close', () => this.sockets.delete(socket));
    });
    this.server.listen(replicaPort, this.ip);
    await once(this.server, 'listening');
    this.isUp = true;
    const { lifetime } = this;
    void (async () => {
      while (this.isUp && this.lifetime === lifetime && !this.rig.stopped) {
        if (this.state !== 'gone') await this.beat();
        await sleep(1200);
      }
    })();
  }

  /** Sends a check-in to the voters in turn until one acknowledges it; whether one has. */
  async beat() {
    this.sequence += 1;
    const body = JSON.stringify({
      service: this.service,
      address: this.address,
      zone: 'pamplemousses',
      version: 'v1',
      slots: this.slots,
      state: this.state,
      coldRemainingMs: 0,
      sequence: this.sequence,
      born: this.born,
      ...this.fields(),
    });
    return this.tell(`/tanagercart/Instances.Heartbeat/${this.id}`, body);
  }

  async tell(path, body) {
    const { voters } = this.rig;
    const first = Math.floor(Math.random() * voters.length);
    for (let i = 0; i < voters.length; i += 1) {
      const to = voters[(first + i) % voters.length];
      const reply = await call(to, ports.control, 'POST', path, body);
      if (reply.status === 200) return true;
    }
    return false;
  }

  /** Crashes: nothing listens any more, and all channels are reset. */
  crash() {
    if (!this.isUp) return;
    this.isUp = false;
    this.server.close();
    for (const socket of this.sockets) socket.resetAndDestroy();
    this.sockets.clear();
  }

  accept(request, response) {
    response.on('error', () => undefined);
    request.on('error', () => undefined);
    const chunks = [];
    request.on('data', (chunk) => chunks.push(chunk));
    request.on('end', () => {
      const id = request.headers['attempt-id'];
      const expected = request.headers['expected-instance'];
      if (expected !== undefined && expected !== this.id) {
        response.writeHead(421, { 'Not-Executed': '1', ...(id ? { 'Attempt-Id': id } : {}) });
        response.end();
        return;
      }
      if (request.url === '/healthz') {
        response.writeHead(this.state === 'ready' ? 200 : 503, { 'Instance-Id': this.id });
        response.end();
        return;
      }
      if (request.url === '/tanagercart/report') {
        response.writeHead(200, { 'Content-Type': 'application/json' });
        response.end(
          JSON.stringify({
            phase: 'idle',
            models: [],
            busy: false,
            sequence: 0,
            queued: 0,
            active: 0,
            kvUsage: 0,
            kvCapacity: 0,
            handleIds: 0,
            born: this.born,
          }),
        );
        return;
      }
      this.handle({ replica: this, request, response, id, body: Buffer.concat(chunks).toString() });
    });
  }
}

/** Answers a request as a sound replica does. */
export function answer({ response, id, replica }, text, status = 200) {
  if (response.destroyed) return;
  response.writeHead(status, {
    'Attempt-Id': id,
    'Response-Signature': `s.${replica.id}.${id}`,
    'Content-Type': 'text/plain',
    'Content-Length': Buffer.byteLength(text),
  });
  response.end(text);
}

/** Routes of the deadly cases. */
const deskRoutes = [
  { name: 'tray-order', pathPrefix: '/orders/', kind: 'non_idempotent', service: 'orders-desk' },
  { name: 'dispatch-lookup', pathPrefix: '/dispatch/', kind: 'idempotent', service: 'orders-desk' },
];

/** Time for which a replica runs the deadly request before it crashes, and for which it is down. */
const deadlyMs = 150;
const downMs = 2500;

/** Work of all other requests. */
const orderMs = 300;

/**
 * Six replicas of one service. A request whose path ends in `/deadly` crashes each replica that
 * begins to run it; the replica is back 2.5 s later, as a new lifetime.
 */
export class DeadlyDesks {
  /** Arrivals of the deadly request at replicas, and the crashes, in order. */
  arrivals = [];
  crashes = [];
  /** Times at which a core machine was stopped or started. */
  coreEvents = [];
  lostOrders = 0;

  constructor(rig, isDeadly) {
    this.rig = rig;
    this.isDeadly = isDeadly;
    this.desks = Array.from(
      { length: 6 },
      (_, n) =>
        new Replica(rig, {
          name: `desk${n + 1}`,
          host: 151 + n,
          service: 'orders-desk',
          handle: (run) => this.handle(run),
        }),
    );
  }

  static async create(rig, { isDeadly = true, entries = 2 } = {}) {
    await rig.startFleet({ entries });
    const desks = new DeadlyDesks(rig, isDeadly);
    await rig.configure(documentOf(1, deskRoutes));
    await rig.endBootstrap();
    for (const desk of desks.desks) await desk.start();
    await rig.awaitReady();
    await sleep(1500);
    return desks;
  }

  async handle({ replica, request, response, id }) {
    const { rig } = this;
    if (!request.url.endsWith('/deadly')) {
      rig.log(`the order ${id} of another reaches ${replica.id}`);
      await sleep(orderMs);
      answer({ response, id, replica }, `done ${id}`);
      return;
    }
    const { lifetime } = replica;
    this.arrivals.push({ at: now(), id, replica: replica.id });
    rig.log(`the request ${id} reaches ${replica.id}`);
    await sleep(deadlyMs);
    if (!this.isDeadly) {
      answer({ response, id, replica }, `done ${id}`);
      return;
    }
    if (!replica.isUp || replica.lifetime !== lifetime) return;
    this.crashes.push({ at: now(), replica: replica.id });
    rig.log(`${replica.id} crashes`);
    replica.crash();
    await sleep(downMs);
    if (!rig.stopped) await replica.start();
  }

  /** Sends the request that is deadly; resolves once it has an answer. */
  async send(entry, method) {
    const isOrder = method === 'POST';
    const reply = await ask(entry, {
      method,
      path: isOrder ? '/orders/deadly' : '/dispatch/deadly',
      body: isOrder ? '{"trays":40}' : '',
    });
    this.rig.log(
      `its client ${reply.id}, sent at ${reply.sentAt}, got ${reply.status} after ${reply.tookMs} ms ${reply.text.slice(0, 60)}`,
    );
    return reply;
  }

  /** Sends orders of others for a while, 20 a second, and counts those that are lost. */
  async sendOthers(forMs) {
    const sent = [];
    for (let ms = 0; ms < forMs; ms += 50) {
      const entry = this.rig.entries[sent.length % this.rig.entries.length];
      sent.push(ask(entry, { method: 'POST', path: `/orders/${newId()}`, body: '{"trays":1}' }));
      await sleep(50);
    }
    const replies = await Promise.all(sent);
    for (const r of replies) {
      this.rig.log(
        `the order ${r.id} of another, sent at ${r.sentAt}, got ${r.status} after ${r.tookMs} ms`,
      );
    }
    const lost = replies.filter((r) => r.status !== 200);
    this.lostOrders += lost.length;
    this.rig.log(
      `orders of others: ${replies.length} sent, ${lost.length} without a success (${lost.map((r) => r.status)})`,
    );
  }

  /**
   * The rule BUDGET: the arrivals that were sent by machines in touch later than `contactMs` after
   * the third crash, where there are more than three.
   */
  broken() {
    const third = this.crashes[2]?.at ?? Infinity;
    const inTouch = (at) => this.coreEvents.every((e) => at < e || at > e + bounds.contactMs);
    const late = this.arrivals.filter((a) => a.at > third + bounds.contactMs && inTouch(a.at));
    this.rig.log(
      `crashes: ${this.crashes.length}, the third at ${third}; ${late.length} arrivals by machines in touch later than contactMs after it; orders of others lost: ${this.lostOrders}`,
    );
    return late.length > 3 ? late.map((a) => `${a.id} reaches ${a.replica} at ${a.at}`) : [];
  }
}

/**
 * Runs a case: `play` gets the rig and returns a list of what breaks the rule; empty if it held. The
 * exit code is 1 if the rule was broken, 0 if it held, 2 if the case couldn't run.
 */
export async function runCase(recordFile, play) {
  // Each line is written as it comes, so that a run that ends early leaves its record too.
  const record = createWriteStream(recordFile);
  const note = (text) => record.write(`${String(now()).padStart(6)} ${text}\n`);
  let rig;
  const leave = async (code, text) => {
    note(text);
    await rig?.stop();
    record.end();
    await once(record, 'finish');
    process.stdout.write(`${text}\n`);
    process.exit(code);
  };
  const stop = () => {
    void leave(2, 'could not run: it was stopped');
  };
  process.once('SIGTERM', stop).once('SIGINT', stop);
  const late = setTimeout(stop, 115_000);
  try {
    note(trouble ? 'with the disruption' : 'without the disruption (TROUBLE=0)');
    rig = await Rig.create(record);
    const broken = await play(rig);
    clearTimeout(late);
    for (const text of broken) note(`BROKEN: ${text}`);
    await (broken.length === 0 ? leave(0, 'the rule held') : leave(1, 'the rule was broken'));
  } catch (e) {
    await leave(2, `could not run: ${e.stack}`);
  }
}
