/**
 * Decides the next change of the voter set. Answers the loss, the silence, the planned stop, the
 * return and the replacement of voters, in sets of even and of odd size.
 *
 * | node                            | what the leader does                                            |
 * | ------------------------------- | --------------------------------------------------------------- |
 * | voter that answers              | keeps it, also if it asks to join                               |
 * | silent voter                    | removes it where the voters that answer would tolerate more     |
 * |                                 | failures by themselves: one of a set of even size, two of five  |
 * | voter that is about to stop     | removes it where it would remove a silent one                   |
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
  /** Voters that lately asked to leave, as they are about to stop, the earliest first. */
  readonly leaving: ReadonlySet<NodeId>;
  /** Nodes that asked to join lately, the earliest first. */
  readonly asking: readonly NodeId[];
}

/** The next change of the voter set; undefined if none is due. */
export function nextVoterChange(electorate: Electorate): VoterChange | undefined {
  const { voters, learners, silent, asking } = electorate;
  const absentVoters = absentVotersOf(electorate);
  const [absentVoter] = absentVoters;
  if (absentVoter !== undefined && bearsMoreWithoutAbsent(electorate) && canRemove(electorate)) {
    return { action: 'remove', node: absentVoter };
  }
  const joining = asking.find((id) => !voters.includes(id)) ?? asking.find((id) => silent.has(id));
  if (joining !== undefined) {
    const others = [...voters, ...learners].filter((id) => id !== joining);
    const replaces = absentVoters.find((id) => id !== joining);
    if (others.length < maxVoters) return { action: 'add', node: joining, replaces };
    if (absentVoter !== undefined) return { action: 'remove', node: absentVoter };
  }
  const silentLearner = learners.find((id) => silent.has(id));
  return silentLearner === undefined ? undefined : { action: 'remove', node: silentLearner };
}

/** Whether a voter that is about to stop should wait until it is removed. */
export function awaitsRemoval(electorate: Electorate, id: NodeId): boolean {
  return electorate.voters.includes(id) && bearsMoreWithoutAbsent(electorate);
}

/**
 * Whether the voters that answer and stay tolerate more failures as a set of their own, in which a
 * smaller number of them is a quorum.
 */
function bearsMoreWithoutAbsent(electorate: Electorate): boolean {
  const size = electorate.voters.length;
  return size > 2 && quorumSize(stayingVoters(electorate)) < quorumSize(size);
}

/**
 * Whether the voters that answer can commit the removal of one voter, and those that stay can go on by
 * themselves once all removals are done. A voter that is about to stop waits for them, and so takes
 * part in them.
 */
function canRemove(electorate: Electorate): boolean {
  const { voters, silent } = electorate;
  const answering = voters.filter((id) => !silent.has(id)).length;
  return stayingVoters(electorate) >= 2 && answering >= quorumSize(voters.length - 1);
}

/**
 * Voters that are silent or about to stop, the first to be removed first. One of them stays where the
 * others are of even number, and that is a silent one, as it may be heard again. Other silent ones go
 * before those that are about to stop, which still store the change.
 */
function absentVotersOf(electorate: Electorate): readonly NodeId[] {
  const { voters, silent, leaving } = electorate;
  const leavingVoters = [...leaving].filter((id) => voters.includes(id));
  const silentVoters = voters.filter((id) => silent.has(id) && !leaving.has(id));
  const kept = stayingVoters(electorate) % 2 === 0 ? 1 : 0;
  return silentVoters.length > kept
    ? [...silentVoters, ...leavingVoters]
    : [...leavingVoters, ...silentVoters];
}

function stayingVoters({ voters, silent, leaving }: Electorate): number {
  return voters.filter((id) => !silent.has(id) && !leaving.has(id)).length;
}
