/**
 * Forms a new log: only once every named node answers that its disk is empty. The first of those
 * that know of the first start forms it; one that ended meanwhile and lost its disk knows no more.
 */

import type { Millis, NodeId } from '@tanagercart/base';
import type { InspectReply, LogEntry, Member } from '@tanagercart/protocol';
import type { Core } from './core.js';

/** How long a node may take to answer what disk it has, in milliseconds. */
const inspectMs: Millis = 1000;

/** Task: the first of the named nodes forms the log, unless it finds one that is formed. */
export async function formLog(core: Core): Promise<void> {
  const { clock, initialVoters: initial, self, timing } = core.o;
  if (!initial.includes(self)) return;
  const named = [...initial].sort();
  while (!core.stopped && core.voters.isEmpty && core.store.lastIndex === 0) {
    const answers = await Promise.all(named.map((id) => inspect(core, id)));
    const first = named[answers.findIndex((a) => a?.forms === true)];
    if (first === self && answers.every((a) => a?.empty === true)) {
      await core.exclusively(() => form(core, named, answers as readonly InspectReply[]));
      return;
    }
    await clock.sleep(timing.heartbeatMs, core.stopping.signal);
  }
}

async function inspect(core: Core, id: NodeId): Promise<InspectReply | undefined> {
  const { self, transport } = core.o;
  if (id === self) return { disk: core.store.diskId, empty: true, forms: true, term: core.term };
  const options = { timeoutMs: inspectMs, signal: core.stopping.signal };
  const reply = await transport.call(id, 'inspect', { from: self }, options);
  return reply.isOk() ? reply.value : undefined;
}

/**
 * Writes the first entry, in a term later than any that an earlier attempt could have used. Nodes
 * use different terms, so that what two of them write is never taken for the same.
 */
async function form(
  core: Core,
  named: readonly NodeId[],
  answers: readonly InspectReply[],
): Promise<void> {
  const { logger, self } = core.o;
  if (core.store.lastIndex > 0 || core.stopped) return;
  const latest = Math.max(core.term, ...answers.map((a) => a.term));
  const term = latest + 1 + named.indexOf(self);
  const voters = named.map((id, i): Member => ({ id, disk: answers[i]!.disk }));
  const payload = { kind: 'voters', config: { voters, learners: [] } } as const;
  const entry: LogEntry = { index: 1, term, payload };
  if (!(await core.adoptTerm(term)) || !core.saved(await core.store.append([entry]))) return;
  core.voters.append([entry]);
  logger.info('Formed a new log.', { voters: named.join(' '), term });
}
