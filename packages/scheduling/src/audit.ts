/**
 * Finds grants that their entries do not hold, for example because the reply with the grant was
 * lost. Protects against slots that leak, as such a grant is never released.
 */

import type { Clock, GrantId, Millis, NodeId } from '@tanagercart/base';
import type { Transport } from '@tanagercart/protocol';
import type { GrantTable } from './granttable.js';
import type { HeldGrant } from './replica.js';

const auditIntervalMs: Millis = 1000;

const replyTimeoutMs: Millis = 1000;

export interface AuditOptions {
  readonly clock: Clock;
  readonly transport: Transport;
  readonly grants: GrantTable;
  /** A grant is audited once it was last sent this long ago. */
  readonly minAgeMs: Millis;
  /** Called with each grant that its entry does not hold. */
  readonly removeGrant: (grant: GrantId) => void;
}

/** Task: periodically asks each entry which of its grants it holds, until `signal` aborts. */
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
  const held = new Set(reply.value.held);
  for (const g of grants) {
    // A grant that was sent again after the call may have reached the entry after its reply.
    if (!held.has(g.grant.id) && g.lastSentAt < askedAt - o.minAgeMs) o.removeGrant(g.grant.id);
  }
}
