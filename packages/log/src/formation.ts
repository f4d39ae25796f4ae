/**
 * Formation (bootstrap) of a new log: one node writes entry 1, which contains the initial voters. Of
 * the voters that have the list of initial voters (`forms`), the first one by identifier forms the
 * log, once every initial voter reports that its log is empty. A node that was stopped and lost its
 * disk before the log was formed no longer has the list and is passed over.
 *
 * Where only the first start of a node gives it the list (`formsBy`), a quorum of the initial voters
 * is enough after a while, as one of them may be gone for good. No second log can follow then: the
 * node that forms the log needs the stored votes of a quorum of nodes with empty logs, as a candidate
 * does, and nothing is committed without a quorum of all initial voters. A node without the list may
 * have lost its vote with its disk, and is not counted.
 */

import type { Millis, NodeId } from '@tanagercart/base';
import type { InspectReply, LogEntry, Member } from '@tanagercart/protocol';
import type { RaftState } from './raftstate.js';
import { quorumSize } from './voterset.js';

/** Timeout of an `inspect` call, in milliseconds. */
const inspectTimeoutMs: Millis = 1000;

/** Time for which a quorum waits for the other initial voters. */
const absentVoterWaitMs: Millis = 2000;

/** The disk of an initial voter that was absent; no disk has this identifier. */
const unknownDisk = '?';

/** What an initial voter reported; undefined where it did not answer. */
type Report = InspectReply | undefined;

/**
 * Forms the log if this node is the one to do so; resolves, once the log exists, to whether this
 * node has formed it.
 */
export async function formLog(state: RaftState): Promise<boolean> {
  const { clock, initialVoters, self, timing } = state.o;
  if (!initialVoters.includes(self)) return false;
  const sortedVoters = [...initialVoters].sort();
  let quorumSince: Millis | undefined;
  while (!state.stopped && state.voters.isEmpty && state.store.lastIndex === 0) {
    const reports = await Promise.all(sortedVoters.map((id) => inspectNode(state, id)));
    if (isQuorumEmpty(reports)) quorumSince ??= clock.now();
    else quorumSince = undefined;
    const waitedMs = quorumSince === undefined ? 0 : clock.now() - quorumSince;
    const formingNode = sortedVoters[reports.findIndex((r) => r?.forms === true)];
    if (formingNode === self && (await tryToForm(state, sortedVoters, reports, waitedMs))) {
      return true;
    }
    await clock.sleep(timing.heartbeatMs, state.stopping.signal);
  }
  return false;
}

async function inspectNode(state: RaftState, id: NodeId): Promise<Report> {
  const { self, transport } = state.o;
  if (id === self) return { disk: state.store.diskId, empty: true, forms: true, term: state.term };
  const options = { timeoutMs: inspectTimeoutMs, signal: state.stopping.signal };
  const reply = await transport.call(id, 'inspect', { from: self }, options);
  return reply.isOk() ? reply.value : undefined;
}

/** Whether a quorum of the initial voters can vote, and none of those that answer has a log. */
function isQuorumEmpty(reports: readonly Report[]): boolean {
  const voting = reports.filter((r) => r?.forms === true);
  return voting.length >= quorumSize(reports.length) && reports.every((r) => r?.empty !== false);
}

/** Forms the log if that is safe; resolves to whether it is formed. */
async function tryToForm(
  state: RaftState,
  sortedVoters: readonly NodeId[],
  reports: readonly Report[],
  waitedMs: Millis,
): Promise<boolean> {
  const areAllEmpty = reports.every((r) => r?.empty === true);
  if (state.o.formsBy === 'quorum' && isQuorumEmpty(reports)) {
    if (!areAllEmpty && waitedMs < absentVoterWaitMs) return false;
    const term = await collectVotes(state, sortedVoters, reports);
    return term !== undefined && writeFirstEntry(state, sortedVoters, reports, term);
  }
  if (!areAllEmpty) return false;
  // Each node uses a different term, so that first entries written by two nodes are never taken for
  // the same entry.
  const term = laterTerm(state, reports) + sortedVoters.indexOf(state.o.self);
  return writeFirstEntry(state, sortedVoters, reports, term);
}

/**
 * Asks the initial voters that can vote for their votes in a new term; resolves to the term where a
 * quorum has granted them.
 */
async function collectVotes(
  state: RaftState,
  sortedVoters: readonly NodeId[],
  reports: readonly Report[],
): Promise<number | undefined> {
  const { self, timing, transport } = state.o;
  const term = laterTerm(state, reports);
  const hasOwn = await state.exclusive(async () => {
    if (state.store.lastIndex > 0 || state.stopped || term <= state.term) return false;
    return state.noteWrite(await state.store.saveTerm({ term, vote: self }));
  });
  if (!hasOwn) return undefined;
  const call = { term, candidate: self, lastIndex: 0, lastTerm: 0, pre: false, transfer: false };
  const options = { timeoutMs: timing.electionMs, signal: state.stopping.signal };
  const ask = async (id: NodeId, i: number): Promise<boolean> => {
    if (id === self) return true;
    if (reports[i]?.forms !== true) return false;
    const reply = await transport.call(id, 'vote', call, options);
    return reply.isOk() && reply.value.granted && reply.value.disk === reports[i].disk;
  };
  const votes = await Promise.all(sortedVoters.map(ask));
  const granted = votes.filter(Boolean).length;
  state.o.logger.info('Asked for votes to form a new log.', { term, granted });
  const isElected = granted >= quorumSize(sortedVoters.length) && state.term === term;
  return isElected ? term : undefined;
}

/** A term higher than any earlier attempt can have used, as far as is known. */
function laterTerm(state: RaftState, reports: readonly Report[]): number {
  return Math.max(state.term, ...reports.map((r) => r?.term ?? 0)) + 1;
}

/** Writes entry 1 with a term of its own; resolves to whether the entry is written. */
function writeFirstEntry(
  state: RaftState,
  sortedVoters: readonly NodeId[],
  reports: readonly Report[],
  term: number,
): Promise<boolean> {
  const diskOf = (i: number) => reports[i]?.disk ?? unknownDisk;
  const voters = sortedVoters.map((id, i): Member => ({ id, disk: diskOf(i) }));
  const payload = { kind: 'voters', config: { voters, learners: [] } } as const;
  const entry: LogEntry = { index: 1, term, payload };
  return state.exclusive(async () => {
    if (state.store.lastIndex > 0 || state.stopped || state.term > term) return false;
    if (!(await state.raiseTerm(term))) return false;
    if (!state.noteWrite(await state.store.append([entry]))) return false;
    state.voters.append([entry]);
    const absent = sortedVoters.filter((_, i) => reports[i] === undefined).join(' ');
    state.o.logger.info('Formed a new log.', { voters: sortedVoters.join(' '), term, absent });
    return true;
  });
}
