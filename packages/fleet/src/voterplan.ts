/**
 * Decides the next change of the voter set. Answers the loss, the silence, the return and the
 * replacement of voters, in sets of even and of odd size.
 *
 * | node                            | what the leader does                                            |
 * | ------------------------------- | --------------------------------------------------------------- |
 * | voter that answers              | keeps it, also if it asks to join                               |
 * | silent voter                    | removes it where the voters that answer would tolerate more     |
 * |                                 | failures by themselves: one of a set of even size, two of five  |
 * | one silent voter of an odd set  | keeps it, until a node that has caught up can take its place    |
 * | silent voter that asks to join  | adds it: it may have another disk, with which it does not vote  |
 * | learner that asks to join       | lets it vote once it has caught up, and the others that answer  |
 * |                                 | are a quorum without it; a silent voter leaves first otherwise  |
 * | silent learner                  | removes it                                                      |
 * | other node that asks to join    | adds it; a full set first loses a silent voter, if it has one   |
 */

import type { NodeId } from '@tanagercart/base';
import { quorumSize } from '@tanagercart/log';
import type { VoterChange } from '@tanagercart/protocol';

/** Largest number of voters, with the learners that are to vote. Further nodes with a disk stand by. */
export const maxVoters = 7;

/** What the leader knows of the nodes that vote, learn or ask to join. */
export interface Electorate {
  readonly voters: readonly NodeId[];
  readonly learners: readonly NodeId[];
  /** Voters and learners that have not answered the leader lately; never the leader. */
  readonly silent: ReadonlySet<NodeId>;
  /** Nodes that asked to join lately, the earliest first. */
  readonly asking: readonly NodeId[];
}

/** The next change of the voter set; undefined if none is due. */
export function nextVoterChange(electorate: Electorate): VoterChange | undefined {
  const { voters, learners, silent, asking } = electorate;
  const silentVoter = voters.find((id) => silent.has(id));
  if (silentVoter !== undefined && bearsMoreWithout(voters, silent)) {
    return { action: 'remove', node: silentVoter };
  }
  const joining = asking.find((id) => !voters.includes(id)) ?? asking.find((id) => silent.has(id));
  if (joining !== undefined) {
    const others = [...voters, ...learners].filter((id) => id !== joining);
    const replaces = voters.find((id) => silent.has(id) && id !== joining);
    if (others.length < maxVoters) return { action: 'add', node: joining, replaces };
    if (silentVoter !== undefined) return { action: 'remove', node: silentVoter };
  }
  const silentLearner = learners.find((id) => silent.has(id));
  return silentLearner === undefined ? undefined : { action: 'remove', node: silentLearner };
}

/**
 * Whether the voters that answer tolerate more failures as a set of their own, in which a smaller
 * number of them is a quorum.
 */
function bearsMoreWithout(voters: readonly NodeId[], silent: ReadonlySet<NodeId>): boolean {
  const answering = voters.filter((id) => !silent.has(id)).length;
  return voters.length > 2 && quorumSize(answering) < quorumSize(voters.length);
}
