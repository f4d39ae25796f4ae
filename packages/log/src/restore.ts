/**
 * Disaster recovery, used by an operator when too few voters are left for a quorum: restores a log
 * from one folder.
 */

import { err, ok } from 'neverthrow';
import type { Result } from 'neverthrow';
import type { NodeId } from '@tanagercart/base';
import type { LogEntry } from '@tanagercart/protocol';
import type { Store, StoreError } from './store.js';

/** Result of `forceSingleVoter`. */
export interface RestoreResult {
  /** Index of the last entry before the one that makes this node the only voter. */
  readonly lastIndex: number;
}

/**
 * Makes `self` the only voter of the log in `store`. Entries after the last one in `store`, which
 * only other voters have acknowledged, are lost. None of those voters may be running or be started
 * again with its folder. Fails if the log is empty or cannot be written.
 */
export async function forceSingleVoter(
  store: Store,
  self: NodeId,
): Promise<Result<RestoreResult, StoreError>> {
  const { lastIndex } = store;
  if (lastIndex === 0) return err({ detail: 'the folder contains no log to restore' });
  const term = store.hardState.term + 1;
  const voted = await store.saveTerm({ term, vote: self });
  if (voted.isErr()) return err(voted.error);
  const config = { voters: [{ id: self, disk: store.diskId }], learners: [] };
  const entry: LogEntry = { index: lastIndex + 1, term, payload: { kind: 'voters', config } };
  const saved = await store.append([entry]);
  return saved.isErr() ? err(saved.error) : ok({ lastIndex });
}
