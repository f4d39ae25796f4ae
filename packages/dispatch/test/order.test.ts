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
import type { Services } from '@tanagercart/upstream';
import { Orders } from '../src/index.js';
import type { Order } from '../src/index.js';

/** What befalls a proposal: `swallowed` is committed, but its answer is lost; `frozen` is answered late. */
type LogFault = 'none' | 'down' | 'swallowed' | 'lost' | 'frozen';
/** What befalls a send: `swallowed` places the order, but its answer is lost. */
type DeskFault = 'none' | 'unreachable' | 'swallowed' | 'lost';

interface DeskOptions {
  readonly log?: (turn: number) => LogFault;
  readonly desk?: (turn: number) => DeskFault;
  readonly body?: string;
}

function createDesk({ log, desk, body = 'placed' }: DeskOptions = {}) {
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
  const services: Services = {
    async send(call) {
      assert.equal(call.once, true);
      sends += 1;
      const fault = desk?.(sends) ?? 'none';
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

/** Runs `work` while time is advanced. */
async function during<T>(clock: HeldClock, work: Promise<T>): Promise<T> {
  await clock.advance(200_000);
  return work;
}

const sayOf = (answer: Awaited<ReturnType<Orders['once']>>) =>
  answer.match(
    (a) => `${a.status} ${a.body}`,
    (e) => `${e.reason} ${e.run}`,
  );

test('a resend through another entry gets the recorded outcome', async () => {
  const d = createDesk();
  const first = await during(d.clock, d.entries[0]!.once(order('a'), 'k'));
  const again = await during(d.clock, d.entries[1]!.once(order('b'), 'k'));
  const other = await during(d.clock, d.entries[1]!.once(order('c', 'knobs'), 'k'));
  assert.deepEqual([first, again, other].map(sayOf), [
    '201 placed',
    '201 placed',
    'key-conflict not-run',
  ]);
  assert.equal(d.placements(), 1);
});

test('a claim whose answer was lost is proposed again by its claimant, and placed once', async () => {
  const d = createDesk({ log: (turn) => (turn === 1 ? 'swallowed' : 'none') });
  assert.equal(sayOf(await during(d.clock, d.entries[0]!.once(order('a'), 'k'))), '201 placed');
  assert.equal(d.placements(), 1);
});

test('an order whose process was frozen past the lapse of its claim is not sent', async () => {
  const d = createDesk({ log: (turn) => (turn === 1 ? 'frozen' : 'none') });
  const first = await during(d.clock, d.entries[0]!.once(order('a'), 'k'));
  assert.equal(sayOf(first), 'shared-state-unavailable unknown');
  assert.equal(d.placements(), 0);
  assert.equal(sayOf(await during(d.clock, d.entries[1]!.once(order('b'), 'k'))), '201 placed');
  assert.equal(d.placements(), 1);
});

test('an outcome is recorded once the log takes it, though the caller was answered before', async () => {
  const d = createDesk({ log: (turn) => (turn > 1 && turn < 9 ? 'down' : 'none') });
  const first = d.entries[0]!.once(order('a'), 'k');
  await d.clock.advance(100);
  assert.equal(sayOf(await first), '201 placed');
  assert.equal(d.entries[0]!.unsettled, 1);
  const early = d.entries[1]!.once(order('b'), 'k');
  await d.clock.advance(20_000);
  assert.match(
    sayOf(await early),
    /(shared-state-unavailable|order-in-progress) unknown|201 placed/,
  );
  assert.equal(d.entries[0]!.unsettled, 0);
  const late = await during(d.clock, d.entries[1]!.once(order('c'), 'k'));
  assert.equal(sayOf(late), '201 placed');
});

test('an order that no desk received is free to be placed again', async () => {
  const d = createDesk({ desk: (turn) => (turn <= 2 ? 'unreachable' : 'none') });
  const first = await during(d.clock, d.entries[0]!.once(order('a'), 'k'));
  const again = await during(d.clock, d.entries[1]!.once(order('b'), 'k'));
  assert.deepEqual([first, again].map(sayOf), ['upstream-failed not-run', '201 placed']);
});

test('an order whose answer was lost is unknown, and never sent again', async () => {
  const d = createDesk({ desk: () => 'swallowed' });
  const first = await during(d.clock, d.entries[0]!.once(order('a'), 'k'));
  const again = await during(d.clock, d.entries[1]!.once(order('b'), 'k'));
  assert.deepEqual([first, again].map(sayOf), ['order-unknown unknown', 'order-unknown unknown']);
  assert.equal(d.placements(), 1);
});

test('an order counts as in progress until its outcome is recorded, whoever still waits', async () => {
  const { clock, state, entries } = createDesk();
  void entries[0]!.once(order('a'), 'k');
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

test('a large answer is recorded by its digest, and its caller gets it whole', async () => {
  const body = 'x'.repeat(maxRecordedBodyChars + 1);
  const d = createDesk({ body });
  const first = await during(d.clock, d.entries[0]!.once(order('a'), 'k'));
  const again = await during(d.clock, d.entries[1]!.once(order('b'), 'k'));
  assert.equal(sayOf(first), `201 ${body}`);
  assert.match(sayOf(again), /201 .*recorded/);
});

test('a malformed key is refused', async () => {
  const d = createDesk();
  const answer = await during(d.clock, d.entries[0]!.once(order('a'), 'k'.repeat(201)));
  assert.equal(sayOf(answer), 'malformed not-run');
});

/** Faults by turn, drawn from a seed. */
function drawn<T>(random: SeededRandom, faults: readonly T[], share: number): () => T {
  return () =>
    random.next() < share ? faults[Math.floor(random.next() * faults.length)]! : faults[0]!;
}

test('an order is placed at most once under any faults, and what is told of it is true', async () => {
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
    const d = createDesk({
      log: drawn<LogFault>(random, ['none', 'down', 'swallowed', 'lost'], share),
      desk: drawn<DeskFault>(random, ['none', 'unreachable', 'swallowed', 'lost'], share),
    });
    const answers: Promise<string>[] = [];
    for (const [i, { entry, after }] of sends.entries()) {
      answers.push(
        d.entries[entry]!.once(order(`r${i}`), 'k').then((answer) => {
          const said = sayOf(answer);
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
