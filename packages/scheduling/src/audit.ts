/**
 * Finds grants that are unknown to their entries, for example because the reply with the grant was
 * lost. Protects against leaked slots: an entry never releases a grant that it does not know.
 */

import type { Clock, GrantId, Millis, NodeId } from '@tanagercart/base';
import type { Transport } from '@tanagercart/protocol';
import type { GrantTable } from './granttable.js';
import type { HeldGrant } from './replica.js';

/** Pause between two audits, in milliseconds. */
const auditIntervalMs: Millis = 1000;

/** Time that an entry has to answer an audit, in milliseconds. */
const replyTimeoutMs: Millis = 1000;

export interface AuditOptions {
  readonly clock: Clock;
  readonly transport: Transport;
  readonly grants: GrantTable;
  /** Only grants that were last sent at least this long ago are audited. */
  readonly minAgeMs: Millis;
  /** Called with the id of each grant that is unknown to its entry. */
  readonly removeGrant: (grantId: GrantId) => void;
}

/** Task: periodically asks each entry which of its grants it knows, until `signal` aborts. */
export async function auditGrants(o: AuditOptions, signal: AbortSignal): Promise<void> {
  while (!signal.aborted) {
    await o.clock.sleep(auditIntervalMs, signal);
    const old = o.grants.lastSentBefore(o.clock.now() - o.minAgeMs);
    await Promise.all([...old].map(([entry, grants]) => auditEntry(o, entry, grants)));
  }
}

async function auditEntry(
  o: AuditOptions,
  entry: NodeId,
  grants: readonly HeldGrant[],
): Promise<void> {
  const askedAt = o.clock.now();
  const call = { grants: grants.map((g) => g.grant.id) };
  const reply = await o.transport.call(entry, 'audit', call, { timeoutMs: replyTimeoutMs });
  // The grants of an entry that does not answer may be in use and are kept.
  if (reply.isErr()) return;
  const known = new Set(reply.value.held);
  for (const g of grants) {
    // A grant that the owner sent again meanwhile may reach the entry only after the entry replied.
    if (!known.has(g.grant.id) && g.lastSentAt < askedAt - o.minAgeMs) o.removeGrant(g.grant.id);
  }
}
