/**
 * Formation of a new log, once every initial voter reports that its disk is empty. Of the voters
 * that know the list of initial voters (`forms`), the first one forms the log. A node that was stopped
 * and lost its disk in the meantime no longer knows the list and is passed over.
 */

import type { Millis, NodeId } from '@tanagercart/base';
import type { InspectReply, LogEntry, Member } from '@tanagercart/protocol';
import type { RaftState } from './raftstate.js';

/** Timeout of an `inspect` call, in milliseconds. */
const inspectTimeoutMs: Millis = 1000;

/** Background task: forms the log if this node is the one to do so; ends once it has a log. */
export async function formLog(raft: RaftState): Promise<void> {
  const { clock, initialVoters, self, timing } = raft.options;
  if (!initialVoters.includes(self)) return;
  const initialNodes = [...initialVoters].sort();
  while (!raft.stopped && raft.voters.isEmpty && raft.store.lastIndex === 0) {
    const replies = await Promise.all(initialNodes.map((id) => inspectNode(raft, id)));
    const creator = initialNodes[replies.findIndex((a) => a?.forms === true)];
    if (creator === self && replies.every((a) => a?.empty === true)) {
      await raft.runExclusive(() =>
        writeFirstEntry(raft, initialNodes, replies as readonly InspectReply[]),
      );
      return;
    }
    await clock.sleep(timing.heartbeatMs, raft.stopController.signal);
  }
}

async function inspectNode(raft: RaftState, id: NodeId): Promise<InspectReply | undefined> {
  const { self, transport } = raft.options;
  if (id === self) return { disk: raft.store.diskId, empty: true, forms: true, term: raft.term };
  const options = { timeoutMs: inspectTimeoutMs, signal: raft.stopController.signal };
  const reply = await transport.call(id, 'inspect', { from: self }, options);
  return reply.isOk() ? reply.value : undefined;
}

/**
 * Writes the first entry in a later term than any earlier attempt can have used. Each node uses a
 * different term, so that first entries written by two nodes are never taken for the same entry.
 */
async function writeFirstEntry(
  raft: RaftState,
  initialNodes: readonly NodeId[],
  replies: readonly InspectReply[],
): Promise<void> {
  const { logger, self } = raft.options;
  if (raft.store.lastIndex > 0 || raft.stopped) return;
  const latestTerm = Math.max(raft.term, ...replies.map((a) => a.term));
  const term = latestTerm + 1 + initialNodes.indexOf(self);
  const voters = initialNodes.map((id, i): Member => ({ id, disk: replies[i]!.disk }));
  const payload = { kind: 'voters', config: { voters, learners: [] } } as const;
  const entry: LogEntry = { index: 1, term, payload };
  if (!(await raft.raiseTerm(term)) || !raft.checkWrite(await raft.store.append([entry]))) return;
  raft.voters.append([entry]);
  logger.info('Formed a new log.', { voters: initialNodes.join(' '), term });
}
