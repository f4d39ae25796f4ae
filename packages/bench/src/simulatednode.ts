/** A node of the simulation, with its control plane, owner and dispatch, in virtual time. */

import { rendezvous, silentLogger } from '@tanagercart/base';
import type { HeldClock, Metrics, NodeId } from '@tanagercart/base';
import { Dispatch, Gate, Orders } from '@tanagercart/dispatch';
import { UpstreamRegistry } from '@tanagercart/membership';
import type { MemoryNetwork } from '@tanagercart/protocol';
import { OwnerSelector, maintainReplicas } from '@tanagercart/routing';
import { Owner } from '@tanagercart/scheduling';
import { BatchingProposer } from '@tanagercart/state';
import { startMember } from './cluster.js';
import type { SimulatedUpstreams } from './simulatedupstreams.js';

/** A running node of the simulation. */
export type SimulatedNode = ReturnType<typeof startSimulatedNode>;

/** What all nodes of a simulation share. */
export interface SharedParts {
  readonly net: MemoryNetwork;
  readonly clock: HeldClock;
  readonly metrics: Metrics;
  readonly world: SimulatedUpstreams;
}

/**
 * Starts a node with the same components as a real node process. A restart passes the disk of the
 * previous start.
 */
export function startSimulatedNode(
  { net, clock, metrics, world }: SharedParts,
  name: string,
  dataCentre: string,
  disk?: Parameters<typeof startMember>[4],
) {
  const member = startMember(net, clock, name, dataCentre, disk);
  const { id, control, history, ownership, proposer, transport, tasks, life } = member;
  const { signal } = life;
  const { state } = history;
  const logger = silentLogger;
  const { lease } = control;
  const shared = { clock, logger, metrics, transport, state, random: net.random };
  const upstreams = UpstreamRegistry.create({
    self: id,
    history,
    proposer,
    transport,
    lease,
    clock,
    logger,
  });
  Owner.create({
    self: id,
    state,
    clock,
    transport,
    canGrant: () => lease.valid,
    owns: (replica) => ownership.canGrant(replica),
    isLeaving: (u) => upstreams.isLeaving(u.id),
  });
  Gate.create({ state, clock, transport, isUp: (node) => state.nodes.has(node) });
  const proposals = BatchingProposer.create(proposer, clock);
  const ownerSelector = OwnerSelector.create(clock, net.random);
  const owners = () => {
    const owned = new Map<NodeId, number>();
    for (const replica of state.replicas.values()) {
      const owner = ownership.ownerOf(replica);
      if (owner) owned.set(owner, (owned.get(owner) ?? 0) + 1);
    }
    const isNear = (node: NodeId) => state.nodes.get(node)?.address.dataCentre === dataCentre;
    return [...owned].map(([node, replicas]) => ({ node, replicas, sameDataCentre: isNear(node) }));
  };
  const dispatch = Dispatch.create({
    ...shared,
    engines: world.engines,
    proposals,
    owners: (_, tier) => ownerSelector.rank(owners(), tier.id, []),
    recordAcquire: (owner, tier) => ownerSelector.recordRequest(owner, tier.id),
    recordReply: (owner, tier, reply) => {
      const retryAfterMs = reply.kind === 'refused' ? reply.retryAfterMs : undefined;
      ownerSelector.recordReply(owner, tier.id, { room: reply.room, retryAfterMs });
    },
    gates: (fingerprint) => rendezvous(fingerprint, [...state.nodes.keys()]),
  });
  const orders = Orders.create({
    ...shared,
    self: id,
    proposals,
    services: world.services,
    upstreams: () => [...state.upstreams.values()].filter((u) => u.role.kind === 'service'),
  });
  tasks.start(() => upstreams.watch(signal));
  tasks.start(() =>
    maintainReplicas({ state, proposer, clock, logger, isLeader: member.isLeader }, signal),
  );
  const ready = () => !signal.aborted && lease.valid;
  return { ...member, upstreams, dispatch, orders, ready };
}
