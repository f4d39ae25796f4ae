import assert from 'node:assert/strict';
import { test } from 'node:test';
import { NodeId } from '@tanagercart/base';
import { nextVoterChange } from '../src/index.js';

const ids = (names: string) => [...names].map(NodeId);

/** The change for sets whose nodes have names of one letter, such as `add d`. */
function changeOf(voters: string, silent = '', asking = '', learners = '') {
  const change = nextVoterChange({
    voters: ids(voters),
    learners: ids(learners),
    silent: new Set(ids(silent)),
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
