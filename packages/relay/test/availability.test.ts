import assert from 'node:assert/strict';
import { test } from 'node:test';
import { HeldClock, RequestId } from '@tanagercart/base';
import { maxBackOffMs } from '../src/index.js';
import {
  FakeCaller,
  FakeClient,
  bulletinOf,
  callOf,
  noticesOf,
  relayOf,
  upstreamOf,
  viewOf,
} from './fixtures.js';
import type { Script } from './fixtures.js';

const request = RequestId('r');
const one = upstreamOf('one');
const two = upstreamOf('two');
const success: Script = { kind: 'answer', status: 200, chunks: ['figs'] };

function start(scripts: Script[] = []) {
  const clock = HeldClock.create();
  const view = viewOf(clock, [one, two]);
  const client = new FakeClient(scripts);
  return { clock, view, client, ...relayOf({ clock, view, client }) };
}

test('only a new incarnation makes an upstream that leaves usable again', () => {
  const { view, balancer, availability } = start();
  availability.record(request, one, noticesOf({ isLeaving: true }));
  const update = { kind: 'update', whole: true, document: undefined, quarantined: [] } as const;
  const news = { ...update, index: 2, bulletin: bulletinOf(), upstreams: [one, two] };
  view.apply(news, 0, { loads: [], documentVersion: 0 });
  availability.record(request, one, noticesOf());
  assert.ok(!balancer.isReady(one));
  const next = upstreamOf('one', { born: 2 });
  view.apply({ ...news, index: 3, upstreams: [next, two] }, 0, { loads: [], documentVersion: 0 });
  assert.ok(balancer.isReady(next));
  availability.record(request, next, noticesOf({ backOffMs: 1000 }));
  availability.record(request, one, noticesOf({ isLeaving: true }));
  assert.ok(!availability.isLeaving(next), 'a late answer of the one before says nothing of it');
  assert.ok(availability.backOffMsOf(next) >= 1000);
});

test('a back-off lasts as long as was asked for, however answers and records follow', async () => {
  const { clock, availability } = start();
  availability.record(request, one, noticesOf({ backOffMs: 2500 }));
  availability.record(request, one, noticesOf({ backOffMs: 100 }));
  availability.record(request, one, noticesOf());
  await clock.advance(2499);
  assert.ok(availability.backOffMsOf(one) > 0);
  await clock.advance(300);
  assert.equal(availability.backOffMsOf(one), 0);
  availability.record(request, two, noticesOf({ backOffMs: 1e12 }));
  assert.ok(availability.backOffMsOf(two) <= maxBackOffMs * 1.1);
});

test('the ends of back-offs that were asked for at once are apart', () => {
  const { availability } = start();
  const waits = Array.from({ length: 20 }, (_, i) => {
    const upstream = upstreamOf(`u${i}`);
    availability.record(request, upstream, noticesOf({ backOffMs: 10_000 }));
    return availability.backOffMsOf(upstream);
  });
  assert.ok(Math.min(...waits) >= 10_000);
  assert.ok(Math.max(...waits) - Math.min(...waits) > 500);
});

test('a permit that was granted before a back-off is not used in it', async () => {
  const { clock, client, relay, pacer, availability } = start([success]);
  for (const u of [one, two]) pacer.record(request, u, { kind: 'limited', perSecond: 8 });
  const caller = new FakeCaller();
  const served = relay.serve(callOf('non-idempotent', { priority: 0 }), caller);
  await clock.advance(60);
  const notices = noticesOf({ backOffMs: 5000, rateLimit: { kind: 'limited', perSecond: 8 } });
  for (const u of [one, two]) availability.record(request, u, notices);
  await clock.advance(200);
  await served;
  assert.equal(client.sent.length, 0);
  assert.ok(caller.refusal?.kind === 'not-run' && caller.refusal.reason === 'backing-off');
  assert.ok(caller.refusal.retryAfterMs >= 5000 - 260);
});
