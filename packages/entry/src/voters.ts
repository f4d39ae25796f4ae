/** Operators' changes of the voters of the replicated log. */

import type { IncomingMessage, ServerResponse } from 'node:http';
import { z } from 'zod';
import { NodeId, unreachable } from '@tanagercart/base';
import type { Clock, Millis } from '@tanagercart/base';
import type { Transport, VotersCall, VotersReply } from '@tanagercart/protocol';
import type { SharedState } from '@tanagercart/state';
import { parseJson, readBody, sendJson } from './body.js';

/** How long a change may take, in milliseconds: a learner has a minute to catch up. */
const changeTimeoutMs: Millis = 70_000;

/** Pause before the leader is asked again, in milliseconds. */
const searchPauseMs: Millis = 100;

/** How often the leader is looked for. */
const searches = 50;

/** Largest body, in bytes. */
const bodyBytes = 4096;

const change = z.strictObject({
  action: z.enum(['add', 'remove']),
  node: z.string().min(1).transform(NodeId),
});

/** What changes of the voters need. */
export interface VoterChangeOptions {
  readonly transport: Transport;
  readonly clock: Clock;
  readonly leader: () => NodeId | undefined;
  readonly state: SharedState;
}

/** `POST /operators/v1/voters`: adds or removes a voter and waits until it is done. */
export async function changeVoters(
  o: VoterChangeOptions,
  req: IncomingMessage,
  res: ServerResponse,
): Promise<void> {
  const body = await readBody(req, bodyBytes);
  const call = change.safeParse(body.isOk() ? parseJson(body.value) : undefined);
  if (!call.success) {
    const message = 'expected {"action": "add" or "remove", "node": NAME}';
    return sendJson(res, 400, { error: { code: 'invalid', message } });
  }
  return sendReply(res, await askLeader(o, call.data));
}

/** `GET /operators/v1/voters`: the voters as the leader knows them. */
export async function showVoters(o: VoterChangeOptions, res: ServerResponse): Promise<void> {
  sendReply(res, await askLeader(o, { action: 'show' }));
}

function sendReply(res: ServerResponse, reply: VotersReply): void {
  switch (reply.kind) {
    case 'changed':
      return sendJson(res, 200, reply.config);
    case 'refused':
      return sendJson(res, 409, { error: { code: 'refused', message: reply.reason } });
    case 'not-leader':
      return sendJson(res, 503, { error: { code: 'unavailable', message: 'no leader is known' } });
    case 'unknown':
      return sendJson(res, 503, {
        error: { code: 'unknown', message: `${reply.reason}; send the change again` },
      });
    default:
      return unreachable(reply);
  }
}

/** Brings a change to the leader; a leader that is removed hands over first, and the next one does it. */
async function askLeader(o: VoterChangeOptions, call: VotersCall): Promise<VotersReply> {
  let hint = o.leader();
  for (let i = 0; i < searches; i += 1) {
    // A node that was removed no longer learns who leads, so the others are asked in turn.
    const nodes = [...o.state.nodes.keys()];
    const target = hint ?? nodes[i % Math.max(1, nodes.length)];
    hint = undefined;
    if (target) {
      const reply = await o.transport.call(target, 'voters', call, { timeoutMs: changeTimeoutMs });
      if (reply.isOk() && reply.value.kind !== 'not-leader') return reply.value;
      if (reply.isErr() && reply.error.kind !== 'unreachable') {
        return { kind: 'unknown', reason: 'the answer was lost' };
      }
      if (reply.isOk() && reply.value.kind === 'not-leader') hint = reply.value.leader;
    }
    await o.clock.sleep(searchPauseMs);
  }
  return { kind: 'not-leader', leader: undefined };
}
