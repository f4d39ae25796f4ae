import assert from 'node:assert/strict';
import { test } from 'node:test';
import { err, ok } from 'neverthrow';
import {
  DataCentreId,
  HeldClock,
  NodeId,
  SeededRandom,
  StatsdMetrics,
  silentLogger,
} from '@tanagercart/base';
import type { Millis } from '@tanagercart/base';
import type { EntryRecord } from '@tanagercart/protocol';
import { Connector, directTimeoutMs, peersOf } from '../src/index.js';
import type { Links } from '../src/index.js';

/** What becomes of connections over a link. */
type LinkBehaviour = 'whole' | 'hangs' | 'hangs-once' | 'refuses';

/** The links of one entry to upstreams that are up, and what was opened over them. */
class FakeLinks implements Links<string> {
  own: LinkBehaviour = 'whole';
  /** Upstreams that are down for everyone. */
  readonly down = new Set<string>();
  /** Entries that cannot be reached, and those that reach no upstream. */
  readonly lostPeers = new Set<NodeId>();
  readonly detachedPeers = new Set<NodeId>();
  readonly opened: string[] = [];
  readonly closed: string[] = [];

  constructor(private readonly clock: HeldClock) {}

  async direct(address: string) {
    this.opened.push(`direct ${address}`);
    const { own } = this;
    if (own === 'hangs-once') this.own = 'whole';
    const hangs = own === 'hangs' || own === 'hangs-once';
    await this.clock.sleep(hangs ? directTimeoutMs : 2);
    const fails = own !== 'whole' || this.down.has(address);
    const isRefused = own === 'refuses' || this.down.has(address);
    return fails ? err({ isRefused, detail: 'failed' }) : ok(`direct ${address}`);
  }

  async over(peer: NodeId, address: string) {
    this.opened.push(`${peer} ${address}`);
    await this.clock.sleep(4);
    if (this.lostPeers.has(peer)) return err({ kind: 'no-peer', detail: 'lost' } as const);
    const fails = this.detachedPeers.has(peer) || this.down.has(address);
    return fails
      ? err({ kind: 'no-target', detail: 'refused' } as const)
      : ok(`${peer} ${address}`);
  }

  close(connection: string): void {
    this.closed.push(connection);
  }
}

const [near, otherNear, far] = ['near', 'other-near', 'far'].map((n) => NodeId(n));

function create() {
  const clock = HeldClock.create();
  const links = new FakeLinks(clock);
  const broken: string[] = [];
  const connector = Connector.create({
    clock,
    links,
    logger: silentLogger,
    metrics: StatsdMetrics.create(),
    peers: () => ({ near: [near!, otherNear!], far: [far!] }),
    onBroken: (address) => broken.push(address),
  });
  /** Connects, and returns what opened and after which time. */
  const connect = async (address: string) => {
    links.opened.length = 0;
    const from = clock.now();
    let tookMs: Millis = 0;
    const connecting = connector.connect(address).then((opened) => {
      tookMs = clock.now() - from;
      return opened.unwrapOr('nothing');
    });
    for (let i = 0; i < 350; i += 1) await clock.advance(2);
    return { over: await connecting, tookMs, tried: [...links.opened] };
  };
  return { clock, links, connector, broken, connect };
}

test('an entry with whole links opens no connection over others', async () => {
  const { connect } = create();
  assert.deepEqual((await connect('u1')).tried, ['direct u1']);
});

test('an upstream that the own link does not reach is reached over another entry', async () => {
  for (const own of ['hangs', 'refuses'] as const) {
    const { links, connect, broken } = create();
    links.own = own;
    const { over, tookMs } = await connect('u1');
    assert.equal(over, 'far u1', own);
    assert.ok(tookMs < directTimeoutMs);
    assert.deepEqual(broken, ['u1']);
  }
});

test('a link is not taken for broken because its upstream was silent when it was tried', async () => {
  const { links, connector, connect, broken } = create();
  for (const address of ['u1', 'u2']) {
    links.own = 'hangs-once';
    assert.equal((await connect(address)).over, `far ${address}`);
  }
  assert.deepEqual(broken, []);
  assert.equal(connector.isDetached, false);
  assert.deepEqual(links.closed, ['direct u1', 'direct u2']);
});

test('a detached entry connects to other upstreams over others at once', async () => {
  const { links, connector, connect } = create();
  links.own = 'hangs';
  for (const address of ['u1', 'u2']) await connect(address);
  assert.ok(connector.isDetached);
  const { over, tookMs, tried } = await connect('u3');
  assert.equal(over, 'near u3');
  assert.ok(tookMs < 20);
  assert.deepEqual(tried, ['near u3']);
});

test('a link that is whole again is found within seconds, and requests do not wait for it', async () => {
  const { clock, links, connector, connect } = create();
  links.own = 'hangs';
  for (const address of ['u1', 'u2']) await connect(address);
  await clock.advance(1200);
  assert.ok((await connect('u1')).tookMs < 20);
  links.own = 'whole';
  for (let i = 0; i < 3 && connector.isDetached; i += 1) {
    await clock.advance(700);
    await connect('u1');
  }
  assert.equal(connector.isDetached, false);
  assert.deepEqual((await connect('u1')).tried, ['direct u1']);
});

test('of two connections that open the later one is closed', async () => {
  const { clock, links, connector, connect } = create();
  links.own = 'refuses';
  for (const address of ['u1', 'u2']) await connect(address);
  links.own = 'whole';
  await clock.advance(1200);
  assert.equal((await connect('u1')).over, 'direct u1');
  assert.deepEqual(links.closed, ['near u1']);
  assert.equal(connector.isBroken('u1'), false);
});

test('an upstream that is down for all leaves the links whole', async () => {
  const { links, connector, connect, broken } = create();
  links.down.add('u1').add('u2');
  for (const address of ['u1', 'u2', 'u1']) assert.equal((await connect(address)).over, 'nothing');
  assert.equal(connector.isDetached, false);
  assert.deepEqual(broken, []);
});

test('an entry that is lost, or detached itself, does not keep a detached one from upstreams', async () => {
  const { links, connect } = create();
  links.own = 'hangs';
  for (const address of ['u1', 'u2']) await connect(address);
  links.lostPeers.add(near!);
  assert.equal((await connect('u3')).over, 'far u3');
  assert.equal((await connect('u3')).over, 'other-near u3');
  links.detachedPeers.add(otherNear!);
  assert.equal((await connect('u3')).over, 'far u3');
});

test('an entry without any other to turn to still tries its own link', async () => {
  const { clock, links, connect } = create();
  links.own = 'hangs';
  for (const address of ['u1', 'u2']) await connect(address);
  for (const peer of [near!, otherNear!, far!]) links.lostPeers.add(peer);
  await connect('u3');
  links.own = 'whole';
  await clock.advance(10);
  assert.equal((await connect('u3')).over, 'direct u3');
});

test('links that are lost for the second time count again', async () => {
  const { clock, links, connector, connect } = create();
  links.own = 'hangs';
  for (const address of ['u1', 'u2']) await connect(address);
  links.own = 'whole';
  await clock.advance(1200);
  await connect('u3');
  assert.equal(connector.isDetached, false);
  links.own = 'hangs';
  await clock.advance(1200);
  for (const address of ['u1', 'u2']) await connect(address);
  assert.ok(connector.isDetached);
});

test('entries that are not ready, or detached where others are not, are not asked', () => {
  const entryOf = (name: string, dataCentre: string, change: Partial<EntryRecord> = {}) => ({
    node: NodeId(name),
    dataCentre: DataCentreId(dataCentre),
    address: `${name}:1`,
    phase: 'ready' as const,
    ...change,
  });
  const self = entryOf('self', 'north');
  const detached = entryOf('detached', 'north', { isDetached: true });
  const entries = [
    self,
    detached,
    entryOf('a', 'north'),
    entryOf('b', 'south'),
    entryOf('stops', 'south', { phase: 'draining' }),
  ];
  const random = SeededRandom.create(1);
  assert.deepEqual(peersOf(entries, self, random), { near: ['a'], far: ['b'] });
  assert.deepEqual(peersOf([self, detached], self, random), { near: ['detached'], far: [] });
});
