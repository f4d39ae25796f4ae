/**
 * What the scripts of the cases share: the project's programs as processes, and small stand-ins for
 * replicas, clients and the operator, which follow PROTOCOL.md. Uses no dependency.
 */

import { spawn } from 'node:child_process';
import { randomBytes, randomInt } from 'node:crypto';
import { createWriteStream } from 'node:fs';
import { mkdtemp, rm, writeFile } from 'node:fs/promises';
import { Agent, createServer, request as httpRequest } from 'node:http';
import { createServer as createTcpServer } from 'node:net';
import { tmpdir } from 'node:os';
import { fileURLToPath } from 'node:url';
import { setTimeout as sleep } from 'node:timers/promises';

export { sleep };

/** Whether the script applies its disruption. */
export const hasTrouble = process.env.TROUBLE !== '0';

export const ports = {
  frontend: 8227,
  readiness: 8220,
  control: 8229,
  discovery: 8228,
  peers: 7340,
  replica: 8080,
};

export const host = 'ficu95.example';
export const key = 'n2ctnfzs989anu6wsjnb';

const repository = fileURLToPath(new URL('..', import.meta.url));
const startedAt = performance.now();

/** Milliseconds since the script began. */
export const now = () => performance.now() - startedAt;

/** Writes what happened to `record.txt` in the folder of a case. */
export class Recorder {
  constructor(folder) {
    this.stream = createWriteStream(`${folder}/record.txt`);
  }

  write(what, fields = {}) {
    const rest = Object.entries(fields)
      .map(([k, v]) => `${k}=${typeof v === 'string' ? v : JSON.stringify(v)}`)
      .join(' ');
    const line = `${(now() / 1000).toFixed(3)} ${what} ${rest}`.trimEnd();
    this.stream.write(`${line}\n`);
  }

  /** Resolves once all is written. */
  close() {
    return new Promise((resolve) => {
      this.stream.end(resolve);
    });
  }
}

/** Whether a port can be listened to at an address. */
function isFree(address, port) {
  return new Promise((resolve) => {
    const server = createTcpServer();
    server.once('error', () => resolve(false));
    server.listen(port, address, () => server.close(() => resolve(true)));
  });
}

/** A loopback network that is not in use, as its first three bytes. */
async function freeNetwork() {
  for (;;) {
    const net = `127.${randomInt(20, 250)}.${randomInt(1, 250)}`;
    const probes = [1, 11, 12, 101, 102].flatMap((n) =>
      [ports.control, ports.peers, ports.frontend, 9464].map((p) => isFree(`${net}.${n}`, p)),
    );
    if ((await Promise.all(probes)).every(Boolean)) return net;
  }
}

/** Waits until `condition` holds; resolves to whether it did within `ms`. */
export async function until(condition, ms) {
  const end = now() + ms;
  while (now() < end) {
    if (await condition()) return true;
    await sleep(50);
  }
  return false;
}

/** One HTTP call on a new connection; resolves with status, headers and body, rejects otherwise. */
export function call({
  address,
  method = 'GET',
  path,
  headers = {},
  body,
  timeoutMs = 1000,
  agent,
}) {
  const [hostname, port] = address.split(':');
  return new Promise((resolve, reject) => {
    const request = httpRequest({
      host: hostname,
      port,
      method,
      path,
      headers: body === undefined ? headers : { ...headers, 'Content-Length': body.length },
      agent: agent ?? false,
    });
    const timer = setTimeout(() => request.destroy(new Error('no answer in time')), timeoutMs);
    request.on('error', (e) => {
      clearTimeout(timer);
      reject(e);
    });
    request.on('response', (response) => {
      const chunks = [];
      response.on('data', (c) => chunks.push(c));
      response.on('error', reject);
      response.on('close', () => {
        clearTimeout(timer);
        if (!response.complete) reject(new Error('the answer is incomplete'));
        const text = Buffer.concat(chunks).toString('utf8');
        resolve({ status: response.statusCode, headers: response.headers, body: text });
      });
    });
    request.end(body);
  });
}

/** A program of the project on one machine. */
export class Machine {
  constructor(deployment, { name, program, ip, zone }) {
    Object.assign(this, { deployment, name, program, ip, zone, lines: [], listeners: [] });
    this.settingsPath = `${deployment.folder}/${name}.toml`;
    this.dataDir = program === 'voter' ? `${deployment.folder}/${name}.data` : undefined;
  }

  async writeSettings(bootstrap) {
    const { ip } = this;
    const isVoter = this.program === 'voter';
    const listen = isVoter
      ? `controlPlane = "${ip}:${ports.control}"`
      : `frontend = "${ip}:${ports.frontend}"\nreadiness = "${ip}:${ports.readiness}"\ndiscoveryAddress = "${ip}:${ports.discovery}"`;
    const bounds = Object.entries(this.deployment.bounds).map(([k, v]) => `${k} = ${v}`);
    const lines = [
      `nodeName = "${this.name}"`,
      `ip = "${ip}"`,
      `zone = "${this.zone}"`,
      'region = "prairie"',
      `internalPorts = [${ports.peers},${ports.peers + 15}]`,
      `seeds = [${this.deployment.seeds.map((s) => `"${s}:${ports.control}"`).join(',')}]`,
      `bootstrap = ${bootstrap}`,
      'heartbeatMs = 1200',
      ...(isVoter ? [`dataDir = "${this.dataDir}"`] : []),
      '[listen]',
      listen,
      '[bounds]',
      ...bounds,
    ];
    await writeFile(this.settingsPath, `${lines.join('\n')}\n`);
  }

  async start(bootstrap = false) {
    await this.writeSettings(bootstrap);
    const script = `target/${this.program}.mjs`;
    const child = spawn(process.execPath, ['--max-old-space-size=160', script], {
      cwd: repository,
      env: {
        PATH: process.env.PATH,
        HOME: process.env.HOME ?? '/',
        TANAGERCART_BOOT: this.settingsPath,
      },
      stdio: ['ignore', 'pipe', 'pipe'],
    });
    this.child = child;
    let rest = '';
    const read = (chunk) => {
      rest += chunk;
      const lines = rest.split('\n');
      rest = lines.pop();
      for (const line of lines) this.addLine(line);
    };
    child.stdout.setEncoding('utf8').on('data', read);
    child.stderr.setEncoding('utf8').on('data', read);
    child.once('exit', (code, signal) => {
      if (this.child !== child) return;
      this.child = undefined;
      this.deployment.record.write('process ended', { machine: this.name, code, signal });
    });
    this.deployment.record.write('process started', { machine: this.name, ip: this.ip });
  }

  addLine(line) {
    this.lines.push(line);
    for (const listener of this.listeners) listener(line);
  }

  signal(name) {
    this.deployment.record.write(`signal ${name}`, { machine: this.name });
    this.child?.kill(name);
  }

  async kill() {
    const { child } = this;
    if (!child) return;
    const exited = new Promise((resolve) => {
      child.once('exit', resolve);
    });
    this.signal('SIGKILL');
    await exited;
  }

  async wipe() {
    this.deployment.record.write('disk lost', { machine: this.name });
    await rm(this.dataDir, { recursive: true, force: true });
  }

  /** The gauges that the program exposes. */
  async metrics() {
    const reply = await call({ address: `${this.ip}:9464`, path: '/metrics', timeoutMs: 1000 });
    const gauges = {};
    for (const line of reply.body.split('\n')) {
      const match = /^(?:tanagercart_)?([a-z_]+)(?:\{[^}]*\})? ([-0-9.e+]+)$/.exec(line);
      if (match) gauges[match[1]] = Number(match[2]);
    }
    return gauges;
  }
}

/** The programs of a deployment. */
export class Deployment {
  static async create({ record, voters, entries, bounds = {} }) {
    const deployment = new Deployment();
    deployment.record = record;
    deployment.net = await freeNetwork();
    deployment.folder = await mkdtemp(`${tmpdir()}/review-`);
    deployment.bounds = {
      contactMs: 3000,
      drainMs: 2000,
      graceS: 8,
      configApplyMs: 2000,
      revokeMs: 5000,
      retryBudgetRatio: 0.2,
      budgetWindowS: 10,
      budgetSlack: 200,
      ttl_max_s: 5,
      ...bounds,
    };
    deployment.machines = [];
    deployment.replicas = [];
    deployment.seeds = [];
    for (let i = 0; i < voters; i += 1) deployment.addMachine('voter');
    for (let i = 0; i < entries; i += 1) deployment.addMachine('entry');
    deployment.seeds = deployment.voters.slice(0, 3).map((m) => m.ip);
    await Promise.all(deployment.machines.map((m) => m.start(true)));
    await sleep(1500);
    await deployment.writeSettings();
    return deployment;
  }

  /** Writes the settings of all machines, which read them again while they run. */
  async writeSettings() {
    await Promise.all(this.machines.map((m) => m.writeSettings(false)));
  }

  get voters() {
    return this.machines.filter((m) => m.program === 'voter');
  }

  get entries() {
    return this.machines.filter((m) => m.program === 'entry');
  }

  addMachine(program) {
    const index = this.machines.filter((m) => m.program === program).length;
    const ip = `${this.net}.${(program === 'voter' ? 101 : 11) + index}`;
    const zone = `prairie-${'abc'[index % 3]}`;
    const machine = new Machine(this, { name: `${program}-${index + 1}`, program, ip, zone });
    this.machines.push(machine);
    return machine;
  }

  async addReplica(Kind, options) {
    const ip = `${this.net}.${151 + this.replicas.length}`;
    const replica = new Kind(this, { ip, ...options });
    this.replicas.push(replica);
    await replica.start();
    return replica;
  }

  /** The voter that leads, by its gauges. */
  async leader() {
    for (const machine of this.voters.filter((v) => v.child)) {
      const gauges = await machine.metrics().catch(() => ({}));
      if (gauges.voter_leads === 1) return machine;
    }
    return undefined;
  }

  async close() {
    for (const replica of this.replicas) replica.close();
    for (const machine of this.machines) machine.child?.kill('SIGCONT');
    await Promise.all(this.machines.map((m) => m.kill()));
    await rm(this.folder, { recursive: true, force: true });
  }
}

const jsonType = { 'Content-Type': 'application/json' };

/** Calls control nodes as operators and replicas do: the next one after a failure or a 5xx. */
export async function callControl({
  record,
  targets,
  withinMs = 15_000,
  timeoutMs = 1000,
  ...what
}) {
  const end = now() + withinMs;
  for (let i = 0; now() < end; i += 1) {
    const target = targets[i % targets.length];
    const address = `${target}:${ports.control}`;
    try {
      const reply = await call({ address, timeoutMs, headers: jsonType, ...what });
      record?.write('control answers', { path: what.path, target, status: reply.status });
      if (reply.status < 500) return { ...reply, target };
    } catch (e) {
      record?.write('control fails', { path: what.path, target, error: e.message });
    }
    await sleep(100 * Math.min(5, 1 + Math.floor(i / targets.length)));
  }
  return undefined;
}

/** A configuration with one plain service, `desk`, behind a route of each kind. */
export function configuration(version, { extraRoutes = 0, keys = [key] } = {}) {
  const route = {
    host,
    timeoutMs: 4000,
    latencyGoalMs: 400,
    priority: 1,
    service: 'desk',
    maxAttempts: 2,
    public: false,
  };
  const routes = [
    { ...route, name: 'lookup', pathPrefix: '/lookup/', kind: 'idempotent' },
    { ...route, name: 'order', pathPrefix: '/order/', kind: 'non_idempotent', maxAttempts: 1 },
  ];
  for (let i = 0; i < extraRoutes; i += 1) {
    routes.push({ ...route, name: `idle-${i}`, pathPrefix: `/idle-${i}/`, kind: 'idempotent' });
  }
  return JSON.stringify({
    version,
    routes,
    services: [
      { name: 'desk', healthPath: '/healthz', maxConnections: 110, protocol: 'h1', tls: false },
    ],
    limits: {
      maxHeaderBytes: 16384,
      maxBodyBytes: 4194304,
      headerTimeoutMs: 3000,
      idleTimeoutMs: 15000,
    },
    tenants: [{ name: 'hule930', apiKeys: keys, priority: 1 }],
  });
}

/** A sound replica of the plain service `desk`. */
export class Replica {
  constructor(deployment, { id, ip, workMs = 20, targets, service = 'desk' }) {
    this.deployment = deployment;
    this.id = id ?? `i-${randomBytes(4).toString('hex')}`;
    this.born = Date.now();
    this.address = `${ip}:${ports.replica}`;
    Object.assign(this, { ip, workMs, service, sequence: 0, state: 'ready', runs: [], targets });
    this.targetIndex = 0;
    this.slots = 6;
    this.orderStatus = 400;
  }

  start() {
    this.server = createServer((request, response) => {
      void this.handle(request, response);
    });
    this.server.keepAliveTimeout = 8000;
    return new Promise((resolve) => {
      this.server.listen(ports.replica, this.ip, () => {
        this.beating = this.beat();
        resolve();
      });
    });
  }

  /** What the check-ins of a plain replica say beside the common fields. */
  get announced() {
    return { slots: this.slots };
  }

  /** Checks in every 1200 ms until the replica leaves. */
  async beat() {
    while (!this.closed && this.state !== 'left') {
      const done = await this.checkIn();
      if (done) this.checkedInAt = done.at;
      await sleep(1200);
    }
  }

  async checkIn() {
    this.sequence += 1;
    const body = JSON.stringify({
      service: this.service,
      address: this.address,
      zone: 'prairie-a',
      version: 'v1',
      ...this.announced,
      state: this.state,
      coldRemainingMs: 0,
      sequence: this.sequence,
      born: this.born,
    });
    return this.send(`/tanagercart/Instances.Heartbeat/${this.id}`, body);
  }

  /** Says that it leaves, without having been `draining`; resolves to the node that acknowledged. */
  async deregister() {
    this.state = 'left';
    return this.send(
      `/tanagercart/Instances.Deregister/${this.id}`,
      JSON.stringify({ born: this.born }),
    );
  }

  /** Calls the node that the last answer named, and another one after a failure. */
  async send(path, body) {
    const { record, voters } = this.deployment;
    const targets = this.targets ?? voters.map((v) => v.ip);
    for (let i = 0; i < 12 && !this.closed; i += 1) {
      const address =
        this.beatAddress ?? `${targets[this.targetIndex % targets.length]}:${ports.control}`;
      try {
        const reply = await call({ address, method: 'POST', path, headers: jsonType, body });
        if (reply.status >= 200 && reply.status < 300) {
          const named = reply.body === '' ? {} : JSON.parse(reply.body);
          this.beatAddress = named.heartbeatAddress ?? this.beatAddress;
          return { address, status: reply.status, at: now() };
        }
        record.write('check-in refused', { replica: this.id, address, status: reply.status });
      } catch (e) {
        if (this.closed) return undefined;
        record.write('check-in fails', { replica: this.id, address, error: e.message });
      }
      this.beatAddress = undefined;
      this.targetIndex += 1;
      await sleep(100);
    }
    return undefined;
  }

  async handle(request, response) {
    const chunks = [];
    try {
      for await (const chunk of request) chunks.push(chunk);
    } catch {
      return;
    }
    const expected = request.headers['expected-instance'];
    const attempt = request.headers['attempt-id'] ?? '';
    if (expected !== undefined && expected !== this.id) {
      response.writeHead(421, { 'Attempt-Id': attempt, 'Not-Executed': '1' });
      response.end();
      return;
    }
    if (request.url === '/healthz' || request.url === '/tanagercart/report') {
      const report = await this.report();
      response.writeHead(200, { ...jsonType, 'Instance-Id': this.id });
      response.end(JSON.stringify(report));
      return;
    }
    if (request.url === '/tanagercart/order') {
      const order = JSON.parse(Buffer.concat(chunks).toString('utf8'));
      const status = await this.place(order);
      this.deployment.record.write('order', { replica: this.id, ...order, status });
      response.writeHead(status, jsonType);
      response.end('{}');
      return;
    }
    const run = { attempt, path: request.url, at: now(), replica: this.id };
    this.runs.push(run);
    this.deployment.record.write('runs', { replica: this.id, attempt, path: request.url });
    await this.serve(request, response, attempt);
  }

  async serve(request, response, attempt) {
    await sleep(this.workMs);
    response.writeHead(200, { 'Attempt-Id': attempt, 'Response-Signature': `s.${attempt}` });
    response.end(`${this.id} ${attempt}`);
  }

  /** What the replica reports of itself. */
  async report() {
    return { busy: false, sequence: 0, born: this.born };
  }

  /** A plain replica takes no orders. */
  async place() {
    return this.orderStatus;
  }

  close() {
    this.closed = true;
    this.server.close();
    this.server.closeAllConnections();
  }
}

/** Layers of the model that `EngineReplica` serves. */
export const layerCount = 8;

/** A configuration with a model service, `llm`, behind a route for streams that may be resumed. */
export function engineConfiguration(version) {
  const document = JSON.parse(configuration(version));
  document.routes.push({
    name: 'advice',
    host,
    pathPrefix: '/advice/',
    kind: 'streaming',
    timeoutMs: 20_000,
    latencyGoalMs: 500,
    priority: 1,
    service: 'llm',
    maxAttempts: 2,
    public: false,
    sticky: true,
    resumable: true,
    itlTargetMs: 200,
  });
  document.services.push({
    name: 'llm',
    healthPath: '/healthz',
    maxConnections: 1068,
    protocol: 'h1',
    tls: false,
    runtime: {
      slots: 134,
      kvCacheTokens: 69_791,
      kvTokenBytes: 610_388,
      models: [{ name: 'daka510000', pace: 1, loadS: 1, warmupS: 1 }],
      step_ms: 0.85,
      per_seq_ms: 0.004,
      context_per_k: 0.0053,
      read_per_s: 272_000,
      report_lag_ms: 200,
      loads_at_once: 6,
      delays: [],
      usual: { prompt: 772, answer: 150 },
      layerCount,
      layerSizeMb: 1750,
      activationBytes: 30_519,
      pipeMbps: 6500,
      hardwareKinds: [{ name: 'a100s', sizeMb: 36_000, pace: 3.1, readFactor: 3.2 }],
    },
  });
  return JSON.stringify(document);
}

/** A sound replica of the model service `llm`, which may hold the whole model. */
export class EngineReplica extends Replica {
  constructor(deployment, options) {
    super(deployment, { ...options, service: 'llm' });
    this.loadMs = options.loadMs ?? 600;
    this.orders = 0;
    this.busy = false;
  }

  get announced() {
    const layers = this.layers ? { layerCount: { ...this.layers, version: 1 } } : {};
    const models = this.layers ? [{ name: 'daka510000', version: 1, adapters: [] }] : [];
    return { slots: 134, kind: 'a100s', phase: 'prefill_decode', models, ...layers };
  }

  async place(order) {
    const { source, target, precondition } = order;
    if (precondition !== undefined && precondition !== this.orders) return 409;
    if (this.layers?.source === source && this.layers.target === target) return 200;
    this.orders += 1;
    this.busy = true;
    setTimeout(() => {
      this.busy = false;
      this.layers = { source, target };
      this.deployment.record.write('holds layers', { replica: this.id, source, target });
    }, this.loadMs);
    return 202;
  }

  async report() {
    const { busy, orders: sequence, born } = this;
    return { busy, sequence, born, pace: 1, queued: 0, active: 0, blocked: [], ...this.announced };
  }

  async serve(request, response, attempt) {
    response.writeHead(200, {
      'Content-Type': 'text/event-stream',
      'Attempt-Id': attempt,
      'Response-Signature': `s.${attempt}`,
    });
    const first = Number(request.headers['last-event-id'] ?? 0) + 1;
    for (let id = first; id <= 5 && !response.destroyed; id += 1) {
      response.write(`id: ${id}\ndata: piece ${id}\n\n`);
      await sleep(this.workMs / 5);
    }
    response.end();
  }
}

/** A client that sends requests at a steady rate to entries that are given. */
export class Client {
  constructor(
    deployment,
    { path, perSecond = 20, entries, method = 'GET', headers = {}, timeoutMs = 4500 },
  ) {
    Object.assign(this, {
      deployment,
      path,
      perSecond,
      method,
      entries,
      headers,
      timeoutMs,
      sent: [],
    });
    this.agent = new Agent({ keepAlive: true, timeout: 10_000 });
    this.timer = setInterval(() => {
      void this.sendOne();
    }, 1000 / perSecond);
  }

  async sendOne() {
    const { record } = this.deployment;
    const targets = this.entries ?? this.deployment.entries;
    const entry = targets[randomInt(targets.length)];
    const attempt = randomBytes(8).toString('hex');
    const request = { attempt, at: now(), entry: entry.name };
    this.sent.push(request);
    record.write('sent', { attempt, entry: entry.name, path: this.path });
    try {
      const reply = await call({
        address: `${entry.ip}:${ports.frontend}`,
        method: this.method,
        path: `${this.path}x`,
        headers: {
          Host: host,
          'Attempt-Id': attempt,
          'Deadline-Ms': '4000',
          Authorization: `Token ${key}`,
          ...this.headers,
        },
        body: this.method === 'GET' ? undefined : 'an order',
        timeoutMs: this.timeoutMs,
        agent: this.agent,
      });
      request.status = reply.status;
      request.body = reply.body;
    } catch (e) {
      request.error = e.message;
    }
    request.doneAt = now();
    record.write('answered', { attempt, status: request.status, error: request.error });
  }

  stop() {
    clearInterval(this.timer);
    this.agent.destroy();
  }
}

/** Runs a case: exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. */
export async function runCase(folder, body) {
  const record = new Recorder(folder);
  let deployment;
  let code = 2;
  const create = async (options) => {
    deployment = await Deployment.create({ record, ...options });
    return deployment;
  };
  const limit = setTimeout(() => {
    record.write('the case takes too long');
    for (const machine of deployment?.machines ?? []) machine.child?.kill('SIGKILL');
    void record.close().then(() => process.exit(2));
  }, 115_000);
  try {
    code = (await body(create, record)) ? 1 : 0;
  } catch (e) {
    record.write('the case could not run', { error: e.stack });
    process.stderr.write(`${e.stack}\n`);
  }
  await deployment?.close();
  clearTimeout(limit);
  const results = ['the rule held', 'the rule was broken', 'the case could not run'];
  record.write(results[code]);
  await record.close();
  process.stdout.write(`${results[code]}\n`);
  process.exitCode = code;
  process.exit();
}

/** Throws where a precondition of a case does not hold. */
export function demand(condition, what) {
  if (!condition) throw new Error(`precondition: ${what}`);
}
