import assert from 'node:assert/strict';
import { test } from 'node:test';
import fc from 'fast-check';
import { err, ok } from 'neverthrow';
import {
  AccountId,
  HeldClock,
  NodeId,
  RequestId,
  SeededRandom,
  ServiceId,
  StatsdMetrics,
  UpstreamId,
  silentLogger,
} from '@tanagercart/base';
import {
  BatchingProposer,
  SharedState,
  claimExpiryMs,
  maxRecordedBodyChars,
} from '@tanagercart/state';
import type { Command, CommandProposer, Upstream } from '@tanagercart/state';
import type { ServiceClient } from '@tanagercart/upstream';
import { Orders } from '../src/index.js';
import type { Order } from '../src/index.js';

/**
 * Fault of a proposal. `down` and `lost` don't commit it, `swallowed` commits it and loses the
 * answer, and `frozen` commits it and answers after the claim has lapsed.
 */
type LogFault = 'none' | 'down' | 'swallowed' | 'lost' | 'frozen';
/** Fault of a call to the service. `swallowed` places the order and loses the answer. */
type ServiceFault = 'none' | 'unreachable' | 'swallowed' | 'lost';

/** Faults by the number of the proposal or call, counted from 1. */
interface FixtureOptions {
  readonly log?: (turn: number) => LogFault;
  readonly service?: (turn: number) => ServiceFault;
  readonly body?: string;
}

/** Three entries that share a log and a service with two upstreams. */
function createFixture({ log, service, body = 'placed' }: FixtureOptions = {}) {
  const clock = HeldClock.create();
  const state = SharedState.create();
  let placements = 0;
  let proposed = 0;
  let sends = 0;
  const proposals: CommandProposer = {
    async propose(command: Command) {
      proposed += 1;
      const fault = log?.(proposed) ?? 'none';
      await clock.sleep(2);
      if (fault === 'down') return err({ kind: 'unavailable', detail: fault });
      if (fault === 'lost') return err({ kind: 'unknown', detail: fault });
      const index = state.index + 1;
      const outcome = state.apply(index, command);
      if (fault === 'frozen') await clock.sleep(2 * claimExpiryMs);
      return fault === 'none' || fault === 'frozen'
        ? ok({ index, outcome })
        : err({ kind: 'unknown', detail: fault });
    },
  };
  const services: ServiceClient = {
    async send(call) {
      assert.equal(call.once, true);
      sends += 1;
      const fault = service?.(sends) ?? 'none';
      await clock.sleep(5);
      if (fault === 'unreachable') return err({ kind: 'unreachable', detail: fault });
      if (fault !== 'lost') placements += 1;
      if (fault !== 'none') return err({ kind: 'lost', detail: fault });
      return ok({ status: 201, contentType: 'text/plain', body });
    },
  };
  const entries = ['n0', 'n1', 'n2'].map((self) =>
    Orders.create({
      self: NodeId(self),
      clock,
      logger: silentLogger,
      metrics: StatsdMetrics.create(),
      proposals: BatchingProposer.create(proposals, clock),
      services,
      upstreams: () => [upstream('d0'), upstream('d1')],
    }),
  );
  return { clock, state, entries, placements: () => placements };
}

const upstream = (id: string): Upstream => ({
  id: UpstreamId(id),
  incarnation: '1',
  url: `http://${id}`,
  dataCentre: 'dc',
  role: { kind: 'service', service: ServiceId('desk') },
});

const order = (id: string, body = 'trays'): Order => ({
  request: RequestId(id),
  account: AccountId('grower'),
  service: 'desk',
  path: '/orders',
  method: 'POST',
  headers: {},
  body: Buffer.from(body),
});

/** Resolves `work` while the clock is advanced. */
async function advanceWhile<T>(clock: HeldClock, work: Promise<T>): Promise<T> {
  await clock.advance(200_000);
  return work;
}

const summaryOf = (answer: Awaited<ReturnType<Orders['placeOnce']>>) =>
  answer.match(
    (a) => `${a.status} ${a.body}`,
    (e) => `${e.reason} ${e.run}`,
  );

test('a copy of an order through another entry receives the recorded outcome', async () => {
  const d = createFixture();
  const first = await advanceWhile(d.clock, d.entries[0]!.placeOnce(order('a'), 'k'));
  const again = await advanceWhile(d.clock, d.entries[1]!.placeOnce(order('b'), 'k'));
  const other = await advanceWhile(d.clock, d.entries[1]!.placeOnce(order('c', 'knobs'), 'k'));
  assert.deepEqual([first, again, other].map(summaryOf), [
    '201 placed',
    '201 placed',
    'key-conflict not-run',
  ]);
  assert.equal(d.placements(), 1);
});

test('a claim whose answer was lost is proposed again, and the order is placed once', async () => {
  const d = createFixture({ log: (turn) => (turn === 1 ? 'swallowed' : 'none') });
  assert.equal(
    summaryOf(await advanceWhile(d.clock, d.entries[0]!.placeOnce(order('a'), 'k'))),
    '201 placed',
  );
  assert.equal(d.placements(), 1);
});

test('an order is not sent if the process was suspended until its claim lapsed', async () => {
  const d = createFixture({ log: (turn) => (turn === 1 ? 'frozen' : 'none') });
  const first = await advanceWhile(d.clock, d.entries[0]!.placeOnce(order('a'), 'k'));
  assert.equal(summaryOf(first), 'shared-state-unavailable unknown');
  assert.equal(d.placements(), 0);
  assert.equal(
    summaryOf(await advanceWhile(d.clock, d.entries[1]!.placeOnce(order('b'), 'k'))),
    '201 placed',
  );
  assert.equal(d.placements(), 1);
});

test('an outcome that could not be recorded before the response is recorded later', async () => {
  const d = createFixture({ log: (turn) => (turn > 1 && turn < 9 ? 'down' : 'none') });
  const first = d.entries[0]!.placeOnce(order('a'), 'k');
  await d.clock.advance(100);
  assert.equal(summaryOf(await first), '201 placed');
  assert.equal(d.entries[0]!.unsettled, 1);
  const early = d.entries[1]!.placeOnce(order('b'), 'k');
  await d.clock.advance(20_000);
  assert.match(
    summaryOf(await early),
    /(shared-state-unavailable|order-in-progress) unknown|201 placed/,
  );
  assert.equal(d.entries[0]!.unsettled, 0);
  const late = await advanceWhile(d.clock, d.entries[1]!.placeOnce(order('c'), 'k'));
  assert.equal(summaryOf(late), '201 placed');
});

test('an order that no upstream received can be placed again', async () => {
  const d = createFixture({ service: (turn) => (turn <= 2 ? 'unreachable' : 'none') });
  const first = await advanceWhile(d.clock, d.entries[0]!.placeOnce(order('a'), 'k'));
  const again = await advanceWhile(d.clock, d.entries[1]!.placeOnce(order('b'), 'k'));
  assert.deepEqual([first, again].map(summaryOf), ['upstream-failed not-run', '201 placed']);
});

test('an order whose answer was lost is unknown and never sent again', async () => {
  const d = createFixture({ service: () => 'swallowed' });
  const first = await advanceWhile(d.clock, d.entries[0]!.placeOnce(order('a'), 'k'));
  const again = await advanceWhile(d.clock, d.entries[1]!.placeOnce(order('b'), 'k'));
  assert.deepEqual([first, again].map(summaryOf), [
    'order-unknown unknown',
    'order-unknown unknown',
  ]);
  assert.equal(d.placements(), 1);
});

test('an order is unsettled until its outcome is recorded', async () => {
  const { clock, state, entries } = createFixture();
  void entries[0]!.placeOnce(order('a'), 'k');
  let idle = false;
  void entries[0]!.untilSettled().then(() => {
    idle = true;
  });
  await clock.advance(6);
  assert.deepEqual([entries[0]!.unsettled, idle], [1, false]);
  await clock.advance(20);
  assert.deepEqual([entries[0]!.unsettled, idle], [0, true]);
  assert.equal(state.orders.size, 1);
});

test('a large answer is recorded by its digest and sent to its caller whole', async () => {
  const body = 'x'.repeat(maxRecordedBodyChars + 1);
  const d = createFixture({ body });
  const first = await advanceWhile(d.clock, d.entries[0]!.placeOnce(order('a'), 'k'));
  const again = await advanceWhile(d.clock, d.entries[1]!.placeOnce(order('b'), 'k'));
  assert.equal(summaryOf(first), `201 ${body}`);
  assert.match(summaryOf(again), /201 .*recorded/);
});

test('a malformed idempotency key is refused', async () => {
  const d = createFixture();
  const answer = await advanceWhile(d.clock, d.entries[0]!.placeOnce(order('a'), 'k'.repeat(201)));
  assert.equal(summaryOf(answer), 'malformed not-run');
});

/** Draws a fault for each call; `faults[0]` is the absence of one. */
function randomFaults<T>(random: SeededRandom, faults: readonly T[], share: number): () => T {
  return () =>
    random.next() < share ? faults[Math.floor(random.next() * faults.length)]! : faults[0]!;
}

test('under random faults, an order is placed at most once and its response is correct', async () => {
  const schedule = fc.record({
    seed: fc.integer(),
    share: fc.double({ min: 0, max: 0.9, noNaN: true }),
    sends: fc.array(fc.record({ entry: fc.nat(2), after: fc.nat(3000) }), {
      minLength: 1,
      maxLength: 6,
    }),
  });
  const property = fc.asyncProperty(schedule, async ({ seed, share, sends }) => {
    const random = SeededRandom.create(seed);
    const d = createFixture({
      log: randomFaults<LogFault>(random, ['none', 'down', 'swallowed', 'lost'], share),
      service: randomFaults<ServiceFault>(
        random,
        ['none', 'unreachable', 'swallowed', 'lost'],
        share,
      ),
    });
    const answers: Promise<string>[] = [];
    for (const [i, { entry, after }] of sends.entries()) {
      answers.push(
        d.entries[entry]!.placeOnce(order(`r${i}`), 'k').then((answer) => {
          const said = summaryOf(answer);
          if (said.endsWith('not-run')) assert.equal(d.placements(), 0, said);
          return said;
        }),
      );
      await d.clock.advance(after);
    }
    await d.clock.advance(300_000);
    const said = await Promise.all(answers);
    assert.ok(d.placements() <= 1, `placed ${d.placements()} times`);
    if (said.includes('201 placed')) assert.equal(d.placements(), 1);
    assert.ok(d.entries.every((e) => e.unsettled === 0));
  });
  await fc.assert(property, { numRuns: 200, seed: 6 });
});
