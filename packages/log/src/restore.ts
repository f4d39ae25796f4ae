/** Brings a log up again from one copied folder, when too few voters are left to lead. */

import { err, ok } from 'neverthrow';
import type { Result } from 'neverthrow';
import type { NodeId } from '@tanagercart/base';
import type { LogEntry } from '@tanagercart/protocol';
import type { Store, StoreError } from './store.js';

/** What a restored log holds. */
export interface RestoreResult {
  /** The last entry before the one that makes its node the only voter. */
  readonly lastIndex: number;
}

/**
 * Makes `self` the only voter of the log in `store`, with all that the folder holds. What other
 * voters had acknowledged beyond it is lost, so none of them may run or be started again with its
 * folder.
 */
export async function restoreSingleVoter(
  store: Store,
  self: NodeId,
): Promise<Result<RestoreResult, StoreError>> {
  const { lastIndex } = store;
  if (lastIndex === 0) return err({ detail: 'the folder holds no log to restore' });
  const term = store.hardState.term + 1;
  const voted = await store.saveVote({ term, vote: self });
  if (voted.isErr()) return err(voted.error);
  const config = { voters: [{ id: self, disk: store.diskId }], learners: [] };
  const entry: LogEntry = { index: lastIndex + 1, term, payload: { kind: 'voters', config } };
  const saved = await store.append([entry]);
  return saved.isErr() ? err(saved.error) : ok({ lastIndex });
}
