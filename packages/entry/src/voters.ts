/** Handlers by which operators show, add and remove voters of the replicated log. */

import type { IncomingMessage, ServerResponse } from 'node:http';
import { z } from 'zod';
import { NodeId, unreachable } from '@tanagercart/base';
import type { Clock, Millis } from '@tanagercart/base';
import type { Transport, VotersCall, VotersReply } from '@tanagercart/protocol';
import type { SharedState } from '@tanagercart/state';
import { parseJson, readBody, sendJson } from './body.js';

/** Timeout of a change. A new voter first has a minute, as a learner, to catch up with the log. */
const changeTimeoutMs: Millis = 70_000;

/** Delay between two attempts to reach the leader. */
const leaderRetryMs: Millis = 100;

/** Most attempts to reach the leader. */
const maxLeaderAttempts = 50;

/** Largest body of a change, in bytes. */
const maxBodyBytes = 4096;

const nodeSchema = z.string().min(1).transform(NodeId);

const changeSchema = z.discriminatedUnion('action', [
  z.strictObject({
    action: z.literal('add'),
    node: nodeSchema,
    replaces: nodeSchema.optional(),
  }),
  z.strictObject({ action: z.literal('remove'), node: nodeSchema }),
]);

/** Parts of the node that these handlers use. */
export interface VoterHandlerOptions {
  readonly transport: Transport;
  readonly clock: Clock;
  /** The leader, as far as this node knows. */
  readonly leader: () => NodeId | undefined;
  readonly state: SharedState;
}

/** `POST /operators/v1/voters`: adds or removes a voter and waits until the change is complete. */
export async function changeVoters(
  o: VoterHandlerOptions,
  req: IncomingMessage,
  res: ServerResponse,
): Promise<void> {
  const body = await readBody(req, maxBodyBytes);
  const call = changeSchema.safeParse(body.isOk() ? parseJson(body.value) : undefined);
  if (!call.success) {
    const message =
      'expected {"action": "add" or "remove", "node": NAME}, for "add" also "replaces": NAME';
    return sendJson(res, 400, { error: { code: 'invalid', message } });
  }
  return sendReply(res, await askLeader(o, call.data));
}

/** `GET /operators/v1/voters`: sends the voters and learners that the leader reports. */
export async function showVoters(o: VoterHandlerOptions, res: ServerResponse): Promise<void> {
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

/**
 * Sends a call to the leader, and retries while no leader is found. A leader that is to be removed
 * transfers leadership first; the next leader then applies the change.
 */
async function askLeader(o: VoterHandlerOptions, call: VotersCall): Promise<VotersReply> {
  let leaderHint = o.leader();
  for (let i = 0; i < maxLeaderAttempts; i += 1) {
    // A node that was removed from the voters is no longer told who leads, so it tries the others
    // in turn.
    const nodes = [...o.state.nodes.keys()];
    const target = leaderHint ?? nodes[i % Math.max(1, nodes.length)];
    leaderHint = undefined;
    if (target) {
      const reply = await o.transport.call(target, 'voters', call, { timeoutMs: changeTimeoutMs });
      if (reply.isOk() && reply.value.kind !== 'not-leader') return reply.value;
      if (reply.isErr() && reply.error.kind !== 'unreachable') {
        return { kind: 'unknown', reason: 'the answer was lost' };
      }
      if (reply.isOk() && reply.value.kind === 'not-leader') leaderHint = reply.value.leader;
    }
    await o.clock.sleep(leaderRetryMs);
  }
  return { kind: 'not-leader', leader: undefined };
}
