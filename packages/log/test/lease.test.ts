import assert from 'node:assert/strict';
import { test } from 'node:test';
import { NodeId } from '@tanagercart/base';
import type { VoteCall, VoteReply } from '@tanagercart/protocol';
import { LogCluster, defaultTiming } from '../src/index.js';

const nodes = ['a', 'b', 'c'].map(NodeId);

/** A follower of a cluster whose two other voters have ended; the test speaks in their place. */
async function startFollower(seed: number) {
  const cluster = LogCluster.create({ seed, nodes, initialVoters: nodes });
  await cluster.startAll();
  await cluster.advanceUntil(() => cluster.leaseHolder !== undefined, 5000);
  const leader = cluster.leaseHolder!;
  const [follower, candidate] = nodes.filter((n) => n !== leader) as [NodeId, NodeId];
  const { voters } = cluster.raftOf(leader)!.voterConfig;
  const diskOf = (id: NodeId) => voters.find((m) => m.id === id)!.disk;
  const { term, lastIndex: prevIndex } = cluster.raftOf(leader)!;
  await cluster.advance(defaultTiming.heartbeatMs);
  for (const id of [leader, candidate]) cluster.crash(id);
  const transports = {
    leader: cluster.network.attach(leader),
    candidate: cluster.network.attach(candidate),
  };
  const options = { timeoutMs: defaultTiming.electionMs };
  const raft = () => cluster.raftOf(follower)!;
  return {
    cluster,
    raft,
    term,
    candidateDisk: diskOf(candidate),
    /** Answers requests for votes of the follower in the place of the candidate. */
    onVote: (handler: (call: VoteCall) => Promise<VoteReply>) =>
      transports.candidate.serve('vote', (_, call) => handler(call)),
    /** Sends a heartbeat of the leader; resolves to whether the follower accepts it. */
    async heartbeat(): Promise<boolean> {
      const reply = await transports.leader.call(
        follower,
        'append',
        {
          term,
          leader,
          disk: diskOf(follower),
          prevIndex,
          prevTerm: term,
          entries: [],
          commit: prevIndex,
        },
        options,
      );
      return reply.isOk() && reply.value.ok;
    },
    /** Requests the follower's vote for the candidate; resolves to whether it is granted. */
    async requestVote(ofTerm: number): Promise<boolean> {
      const reply = await transports.candidate.call(
        follower,
        'vote',
        {
          term: ofTerm,
          candidate,
          lastIndex: prevIndex + 1,
          lastTerm: term,
          pre: false,
          transfer: false,
        },
        options,
      );
      return reply.isOk() && reply.value.granted;
    },
  };
}

/** Advances the time of a cluster until a promise is settled. */
async function settle<T>(cluster: LogCluster, promise: Promise<T>): Promise<T> {
  let settled = false;
  const end = () => {
    settled = true;
  };
  void promise.then(end, end);
  await cluster.advanceUntil(() => settled, 5000);
  return promise;
}

/** Lets the follower ask for a pre-vote, answer its leader, and then learn of a later term. */
async function learnOfLaterTerm(seed: number) {
  const follower = await startFollower(seed);
  const { cluster, raft, term, candidateDisk } = follower;
  let deny: (() => void) | undefined;
  follower.onVote(
    () =>
      new Promise((resolve) => {
        deny = () => resolve({ term: term + 1, disk: candidateDisk, granted: false });
      }),
  );
  await cluster.advanceUntil(() => deny !== undefined, 5000);
  assert.ok(await settle(cluster, follower.heartbeat()));
  deny!();
  await cluster.advanceUntil(() => raft().term > term, 100);
  assert.equal(raft().term, term + 1);
  return follower;
}

test('a voter that learns of a later term keeps what its last answer promised to the leader', async () => {
  const { cluster, requestVote, term } = await learnOfLaterTerm(1);
  assert.equal(await settle(cluster, requestVote(term + 2)), false);
});

test('a voter that learned of a later term votes once its promise has ended', async () => {
  const { cluster, requestVote, term } = await learnOfLaterTerm(2);
  await cluster.advance(defaultTiming.electionMs);
  assert.equal(await settle(cluster, requestVote(term + 2)), true);
});
