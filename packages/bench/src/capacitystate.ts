/** Shared states of a given size. */

import {
  AccountId,
  DataCentreId,
  ModelId,
  NodeId,
  ReplicaId,
  UpstreamId,
  digestOf,
} from '@tanagercart/base';
import { SharedState } from '@tanagercart/state';
import type { Command, Replica, Upstream } from '@tanagercart/state';
import { firstNote } from './notes.js';

/** Stages per replica: four accelerators each, as planned. */
const stagesPerReplica = 4;

/**
 * Crashes that quarantine a request, and the time between them in milliseconds. They are far enough
 * apart that a failure of a rack is not suspected.
 */
const strikesPerRequest = 2;
const strikeIntervalMs = 1200;

const model = ModelId('fig');

/** Applies commands to a state at consecutive indices. */
export function applyCommands(state: SharedState, commands: readonly Command[]): SharedState {
  for (const command of commands) state.apply(state.index + 1, command);
  return state;
}

/** A state with this many accounts. */
export function stateWithAccounts(count: number): SharedState {
  const note = firstNote(count);
  const digest = digestOf(String(count));
  return applyCommands(SharedState.create(), [{ kind: 'accept-release', note, digest, at: 0 }]);
}

/** Commands that register nodes, spread over five data centres. */
export function nodeCommands(count: number): readonly Command[] {
  return Array.from({ length: count }, (_, i): Command => {
    const id = NodeId(`n${i + 1}`);
    const place = { dataCentre: DataCentreId(`dc${i % 5}`), peer: `10.0.0.${i}:7100` };
    const node = { id, ...place, entry: `http://10.0.0.${i}:8080` };
    return { kind: 'node-up', node, incarnation: `${id}@0` };
  });
}

/** Commands that register upstreams and plan replicas of them. */
export function replicaCommands(count: number): readonly Command[] {
  const upstreams: Upstream[] = [];
  const replicas: Replica[] = [];
  for (let n = 0; n < count; n += 1) {
    const stages = Array.from({ length: stagesPerReplica }, (_, s) => stageOf(n, s));
    upstreams.push(...stages);
    replicas.push({ id: ReplicaId(`replica-${n}`), model, stages: stages.map((u) => u.id) });
  }
  const ups = upstreams.map((upstream): Command => ({ kind: 'upstream-up', upstream }));
  return [...ups, { kind: 'plan', model, replicas }];
}

function stageOf(replica: number, stage: number): Upstream {
  const layers = { from: stage * 2, to: stage * 2 + 2 };
  const fits = { model, versions: ['1'], adapters: [], accelerator: 'large' };
  const speed = { tokensPerSecond: 2200, slots: 64 };
  return {
    id: UpstreamId(`upstream-${replica}-${stage}`),
    incarnation: `${replica}-${stage}@0`,
    url: `http://10.${stage}.${Math.floor(replica / 256)}.${replica % 256}:9000`,
    dataCentre: `dc${replica % 5}`,
    role: { kind: 'stage', stage: { ...fits, ...layers, ...speed } },
  };
}

/** Commands that quarantine requests. */
export function quarantineCommands(count: number): readonly Command[] {
  return Array.from({ length: count * strikesPerRequest }, (_, i): Command => {
    const fingerprint = digestOf(`prompt ${Math.floor(i / strikesPerRequest)}`);
    return { kind: 'strike', fingerprint, upstream: UpstreamId(`u${i}`), at: i * strikeIntervalMs };
  });
}

/** Commands that claim orders and record their answers. */
export function orderCommands(count: number): readonly Command[] {
  return Array.from({ length: count }, (_, i): readonly Command[] => {
    const order = { account: AccountId(`account-${i % 1000}`), key: `trays-${i}` };
    const claimant = `n1@0|${i}`;
    const answer = { status: 200, contentType: 'application/json', body: '{"placed":true}' };
    return [
      { kind: 'claim-order', order, digest: digestOf(String(i)), claimant, at: i },
      { kind: 'settle-order', order, claimant, outcome: { kind: 'answered', ...answer } },
    ];
  }).flat();
}
