import assert from 'node:assert/strict';
import { test } from 'node:test';
import { NodeId } from '@tanagercart/base';
import { nextVoterChange } from '../src/index.js';

const ids = (names: string) => [...names].map(NodeId);

/** The change for sets whose nodes have names of one letter, such as `add d`. */
function changeOf(voters: string, silent = '', asking = '', learners = '', leaving = '') {
  const change = nextVoterChange({
    voters: ids(voters),
    learners: ids(learners),
    silent: new Set(ids(silent)),
    leaving: new Set(ids(leaving)),
    asking: ids(asking),
  });
  if (change?.action !== 'add') return change && `remove ${change.node}`;
  return `add ${change.node}${change.replaces ? ` for ${change.replaces}` : ''}`;
}

test('a silent voter leaves a set of even size, and stays in one of odd size', () => {
  assert.equal(changeOf('abcd', 'b'), 'remove b');
  assert.equal(changeOf('abc', 'b'), undefined);
  assert.equal(changeOf('ab', 'b'), undefined);
});

// Guards against a set whose next loss leaves no quorum, while all but the lost voters run.
test('silent voters leave a set of odd size where the others bear more failures alone', () => {
  assert.equal(changeOf('abcde', 'b'), undefined);
  assert.equal(changeOf('abcde', 'bc'), 'remove b');
  assert.equal(changeOf('acde', 'c'), 'remove c');
  assert.equal(changeOf('abcdefg', 'b'), undefined);
  assert.equal(changeOf('abcdefg', 'bc'), 'remove b');
});

test('a node that asks to join is added, and takes the place of a silent voter', () => {
  assert.equal(changeOf('abc', '', 'd'), 'add d');
  assert.equal(changeOf('abc', 'b', 'd'), 'add d for b');
  assert.equal(changeOf('abcd', 'b', 'd'), 'remove b');
  assert.equal(changeOf('abcdefg', 'b', 'h'), 'remove b');
  assert.equal(changeOf('abcdefg', '', 'h'), undefined);
});

test('a learner that is to vote counts for the size of the set', () => {
  assert.equal(changeOf('abcdef', '', 'h', 'g'), undefined);
  assert.equal(changeOf('abcdef', '', 'g', 'g'), 'add g');
  assert.equal(changeOf('abcde', '', 'h', 'g'), 'add h');
});

test('a voter that asks to join is added again only where it does not answer', () => {
  assert.equal(changeOf('abc', '', 'b'), undefined);
  assert.equal(changeOf('abc', 'b', 'b'), 'add b');
  assert.equal(changeOf('abc', 'b', 'bd'), 'add d for b');
});

test('a learner that falls silent is removed, also while others ask in vain', () => {
  assert.equal(changeOf('abc', 'd', '', 'd'), 'remove d');
  assert.equal(changeOf('abcdefg', 'x', 'h', 'x'), 'remove x');
});

// Guards against a set of even size that is one voter short of a quorum until a stopped one is silent.
test('a voter that is about to stop leaves a set of even size, while a silent one may stay', () => {
  const leavingOf = (voters: string, leaving: string, silent = '') =>
    changeOf(voters, silent, '', '', leaving);
  assert.equal(leavingOf('abcd', 'c'), 'remove c');
  assert.equal(leavingOf('abcd', 'c', 'b'), 'remove c');
  assert.equal(leavingOf('abc', 'c'), undefined);
  assert.equal(leavingOf('ab', 'b'), undefined);
  assert.equal(leavingOf('abcde', 'e'), undefined);
  assert.equal(leavingOf('abcde', 'e', 'b'), 'remove b');
  assert.equal(leavingOf('acde', 'e'), 'remove e');
});

// Guards against a set that depends on a stopped voter, as the others cannot commit its removal.
test('no voter is removed where the removal needs one that is about to stop', () => {
  assert.equal(changeOf('abc', 'b', '', '', 'c'), undefined);
  assert.equal(changeOf('abcd', 'bc', '', '', 'd'), undefined);
});

// Guards against a set that waits for a lost voter, while one that is about to stop could still vote.
test('a voter that is about to stop helps to remove silent ones before it leaves', () => {
  assert.equal(changeOf('abcde', 'be', '', '', 'c'), 'remove b');
  assert.equal(changeOf('acde', 'e', '', '', 'c'), 'remove c');
});
