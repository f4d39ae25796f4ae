/**
 * Formation (bootstrap) of a new log: one node writes entry 1, which contains the initial voters,
 * once every initial voter reports that its log is empty. Of the voters that have the list of
 * initial voters (`forms`), the first one by identifier forms the log. A node that was stopped and
 * lost its disk before the log was formed no longer has the list and is passed over.
 */

import type { Millis, NodeId } from '@tanagercart/base';
import type { InspectReply, LogEntry, Member } from '@tanagercart/protocol';
import type { RaftState } from './raftstate.js';

/** Timeout of an `inspect` call, in milliseconds. */
const inspectTimeoutMs: Millis = 1000;

/**
 * Forms the log if this node is the one to do so; resolves, once the log exists, to whether this
 * node has formed it.
 */
export async function formLog(state: RaftState): Promise<boolean> {
  const { clock, initialVoters, self, timing } = state.o;
  if (!initialVoters.includes(self)) return false;
  const sortedVoters = [...initialVoters].sort();
  while (!state.stopped && state.voters.isEmpty && state.store.lastIndex === 0) {
    const replies = await Promise.all(sortedVoters.map((id) => inspectNode(state, id)));
    const formingNode = sortedVoters[replies.findIndex((r) => r?.forms === true)];
    if (formingNode === self && replies.every((r) => r?.empty === true)) {
      return state.exclusive(() =>
        writeFirstEntry(state, sortedVoters, replies as readonly InspectReply[]),
      );
    }
    await clock.sleep(timing.heartbeatMs, state.stopping.signal);
  }
  return false;
}

async function inspectNode(state: RaftState, id: NodeId): Promise<InspectReply | undefined> {
  const { self, transport } = state.o;
  if (id === self) return { disk: state.store.diskId, empty: true, forms: true, term: state.term };
  const options = { timeoutMs: inspectTimeoutMs, signal: state.stopping.signal };
  const reply = await transport.call(id, 'inspect', { from: self }, options);
  return reply.isOk() ? reply.value : undefined;
}

/**
 * Writes entry 1 with a term higher than any earlier attempt can have used. Each node uses a
 * different term, so that first entries written by two nodes are never taken for the same entry.
 * Resolves to whether the entry is written.
 */
async function writeFirstEntry(
  state: RaftState,
  sortedVoters: readonly NodeId[],
  replies: readonly InspectReply[],
): Promise<boolean> {
  const { logger, self } = state.o;
  if (state.store.lastIndex > 0 || state.stopped) return false;
  const latestTerm = Math.max(state.term, ...replies.map((r) => r.term));
  const term = latestTerm + 1 + sortedVoters.indexOf(self);
  const voters = sortedVoters.map((id, i): Member => ({ id, disk: replies[i]!.disk }));
  const payload = { kind: 'voters', config: { voters, learners: [] } } as const;
  const entry: LogEntry = { index: 1, term, payload };
  if (!(await state.raiseTerm(term))) return false;
  if (!state.noteWrite(await state.store.append([entry]))) return false;
  state.voters.append([entry]);
  logger.info('Formed a new log.', { voters: sortedVoters.join(' '), term });
  return true;
}
