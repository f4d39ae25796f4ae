/** Finds grants whose entries do not know of them, as when the reply that gave them was lost. */

import type { Clock, GrantId, Millis, NodeId } from '@tanagercart/base';
import type { Transport } from '@tanagercart/protocol';
import type { GrantBook } from './grantbook.js';
import type { HeldGrant } from './replica.js';

/** Pause between two audits, in milliseconds. */
const auditMs: Millis = 1000;

/** How long an entry may take to answer, in milliseconds. */
const answerTimeoutMs: Millis = 1000;

/** What an audit needs. */
export interface AuditOptions {
  readonly clock: Clock;
  readonly transport: Transport;
  readonly book: GrantBook;
  /** Age from which a grant is audited. */
  readonly olderThanMs: Millis;
  /** Drops a grant that its entry does not hold. */
  readonly drop: (grant: GrantId) => void;
}

/** Task: asks the entries again and again which of their grants they hold. */
export async function auditGrants(o: AuditOptions, signal: AbortSignal): Promise<void> {
  while (!signal.aborted) {
    await o.clock.sleep(auditMs, signal);
    const old = o.book.toldBefore(o.clock.now() - o.olderThanMs);
    await Promise.all([...old].map(([entry, grants]) => auditOne(o, entry, grants)));
  }
}

async function auditOne(
  o: AuditOptions,
  entry: NodeId,
  grants: readonly HeldGrant[],
): Promise<void> {
  const askedAt = o.clock.now();
  const call = { grants: grants.map((g) => g.grant.id) };
  const reply = await o.transport.call(entry, 'audit', call, { timeoutMs: answerTimeoutMs });
  // A grant of an entry that is silent may be in use, so it stays.
  if (reply.isErr()) return;
  const held = new Set(reply.value.held);
  for (const g of grants) {
    // One that was told anew in the meantime may not have arrived when the entry answered.
    if (!held.has(g.grant.id) && g.toldAt < askedAt - o.olderThanMs) o.drop(g.grant.id);
  }
}
