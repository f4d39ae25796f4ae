/** Creates the entry for callers and the status for operators from the components of a node. */

import { rendezvous, systemRandom } from '@tanagercart/base';
import type { Clock, Logger, Metrics, NodeId } from '@tanagercart/base';
import { Dispatch, Gate, Orders } from '@tanagercart/dispatch';
import { AccountLimits, Entry } from '@tanagercart/entry';
import type { StatusReport } from '@tanagercart/entry';
import type { ConfigurationLease, UpstreamRegistry } from '@tanagercart/membership';
import type { Transport, VoterConfig } from '@tanagercart/protocol';
import type { Owner } from '@tanagercart/scheduling';
import type { Settings } from '@tanagercart/settings';
import { BatchingProposer } from '@tanagercart/state';
import type { CommandProposer, Proposer, SharedState } from '@tanagercart/state';
import { HttpEngineClient, HttpServiceClient } from '@tanagercart/upstream';
import type { createPool } from '@tanagercart/upstream';
import { OwnerSelector } from '@tanagercart/routing';
import type { ControlPlane } from './controlplane.js';
import type { Directory } from './directory.js';
import type { NodeLimits } from './limits.js';

/** Components of a node that its listeners use. */
export interface NodeParts {
  readonly settings: Settings;
  readonly state: SharedState;
  readonly lease: ConfigurationLease;
  readonly proposer: Proposer;
  readonly transport: Transport;
  readonly directory: Directory;
  readonly upstreams: UpstreamRegistry;
  readonly control: ControlPlane;
  readonly limits: NodeLimits;
  readonly owner: Owner;
  readonly pool: ReturnType<typeof createPool>;
  readonly clock: Clock;
  readonly logger: Logger;
  readonly metrics: Metrics;
  /** Key that upstreams send with their announcements; undefined if they need none. */
  readonly upstreamKey: string | undefined;
  readonly draining: () => boolean;
}

/** Creates the entry, which serves callers and the announcements of upstreams. */
export function createEntry(p: NodeParts): Entry {
  const { state, clock, transport } = p;
  Gate.create({ state, clock, transport, isUp: (node) => state.nodes.has(node) });
  const proposals = BatchingProposer.create(p.proposer, clock);
  return Entry.create({
    self: p.settings.node.id,
    state: p.state,
    lease: p.lease,
    dispatch: createDispatch(p, proposals),
    orders: createOrders(p, proposals),
    upstreams: p.upstreams,
    clock: p.clock,
    logger: p.logger.part('entry'),
    metrics: p.metrics,
    limits: p.settings.limits,
    accountLimits: AccountLimits.create(p.limits.limiter),
    upstreamKey: p.upstreamKey,
    entriesFor: (asker) => p.directory.entriesFor(asker),
    betterEntriesFor: (asker) => p.directory.redirectFor(asker),
    isDraining: p.draining,
  });
}

/** The state of the system as this node sees it. */
export function statusOf(p: NodeParts): StatusReport {
  const { state, control, directory } = p;
  return {
    node: p.settings.node.id,
    draining: p.draining(),
    leaseMs: Math.round(p.lease.leftMs),
    release: state.release.number,
    index: state.index,
    leader: control.followedLeader,
    ...votersOf(p),
    logFailed: p.control.logStatus.failed,
    nodes: [...state.nodes.values()].map((n) => n.address),
    replicas: [...state.replicas.values()].map((r) => ({
      ...r,
      owner: directory.ownerOfReplica(r),
    })),
    upstreams: [...state.upstreams.values()],
    queues: p.owner.queues(),
  };
}

/** The voters and learners in the log, or the voters of the settings if the log has none. */
function votersOf({ control, settings }: NodeParts): Omit<VoterConfig, 'voters'> & {
  readonly voters: readonly { readonly id: NodeId }[];
} {
  const { voters } = control.logStatus;
  // The log of a node that has a disk but never was a voter is empty.
  if (voters && voters.voters.length > 0) return voters;
  return { voters: settings.voters.map((id) => ({ id })), learners: [] };
}

function createDispatch(p: NodeParts, proposals: CommandProposer): Dispatch {
  const chooser = OwnerSelector.create(p.clock, systemRandom);
  return Dispatch.create({
    clock: p.clock,
    logger: p.logger.part('dispatch'),
    metrics: p.metrics,
    transport: p.transport,
    engines: HttpEngineClient.create(p.pool),
    random: systemRandom,
    proposals,
    state: p.state,
    owners: (model, tier, prefix) => chooser.rank(p.directory.ownersOf(model), tier.id, prefix),
    recordAcquire: (owner, tier) => chooser.recordRequest(owner, tier.id),
    recordReply: (owner, tier, reply, prefix) => {
      if (reply.kind === 'granted') chooser.recordPrefix(owner, prefix);
      const retryAfterMs = reply.kind === 'refused' ? reply.retryAfterMs : undefined;
      chooser.recordReply(owner, tier.id, { room: reply.room, retryAfterMs });
    },
    gates: (fingerprint) => rendezvous(fingerprint, [...p.state.nodes.keys()]),
  });
}

function createOrders(p: NodeParts, proposals: CommandProposer): Orders {
  return Orders.create({
    self: p.settings.node.id,
    clock: p.clock,
    logger: p.logger.part('orders'),
    metrics: p.metrics,
    proposals,
    services: HttpServiceClient.create(p.pool),
    upstreams: (service) => p.directory.upstreamsOf(service),
  });
}
