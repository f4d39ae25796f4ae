/**
 * Opens connections to upstreams, over another entry where this one has lost its own link. Protects
 * callers of an entry that is cut off from upstreams while they and other entries still reach it.
 */

import { err, ok } from 'neverthrow';
import type { Result } from 'neverthrow';
import { shuffle, waitEnded } from '@tanagercart/base';
import type { Clock, Logger, Metrics, Millis, NodeId, Random } from '@tanagercart/base';
import { tunnelTargetTimeoutMs } from '@tanagercart/protocol';
import type { EntryRecord, TunnelError } from '@tanagercart/protocol';
import { DirectLinks } from './directlinks.js';
import type { Way } from './directlinks.js';

/** Time for a connection over the own link. */
export const directTimeoutMs: Millis = 300;

/** Time for a connection over another entry, which gives up on the upstream before it is over. */
export const detourTimeoutMs: Millis = tunnelTargetTimeoutMs + 50;

/** Head start of the own link, where it is not known to be broken. */
const headStartMs: Millis = 100;

/** An entry that was not reached is not asked again for this long. */
const avoidPeerMs: Millis = 2000;

/** Why a connection was not opened. */
export interface LinkError {
  /** Whether nothing listens at the address; otherwise the upstream may be up. */
  readonly isRefused: boolean;
  readonly detail: string;
}

/** Opens single connections of the type `C`. */
export interface Links<C> {
  /** Connects over the own link to an upstream, given as `host:port`. */
  direct(address: string): Promise<Result<C, LinkError>>;
  /** Connects over another entry. */
  over(peer: NodeId, address: string): Promise<Result<C, TunnelError>>;
  /** Closes a connection that is not needed. */
  close(connection: C): void;
}

/** Other entries that may have links to upstreams, in random order. */
export interface Peers {
  readonly near: readonly NodeId[];
  /** Those in other data centres. */
  readonly far: readonly NodeId[];
}

/**
 * The ready entries other than `self` that have links to upstreams, as far as is known. Where none
 * has, all of them: an entry that counts as detached may have some of its links.
 */
export function peersOf(
  entries: readonly EntryRecord[],
  self: Pick<EntryRecord, 'node' | 'dataCentre'>,
  random: Random,
): Peers {
  const ready = entries.filter((e) => e.phase === 'ready' && e.node !== self.node);
  const attached = ready.filter((e) => e.isDetached !== true);
  const shuffled = shuffle(attached.length > 0 ? attached : ready, random);
  const isNear = (e: EntryRecord) => e.dataCentre === self.dataCentre;
  return {
    near: shuffled.filter(isNear).map((e) => e.node),
    far: shuffled.filter((e) => !isNear(e)).map((e) => e.node),
  };
}

export interface ConnectorOptions<C> {
  readonly clock: Clock;
  readonly logger: Logger;
  readonly metrics: Metrics;
  readonly links: Links<C>;
  readonly peers: () => Peers;
  /** Called with the address when a link is found broken. */
  readonly onBroken: (address: string) => void;
}

/** Opens connections to upstreams, and learns which links are broken. */
export class Connector<C> {
  private readonly directLinks: DirectLinks;
  private readonly peerFailedAt = new Map<NodeId, Millis>();
  private wasDetached = false;

  private constructor(private readonly o: ConnectorOptions<C>) {
    this.directLinks = DirectLinks.create(o.clock);
  }

  static create<C>(options: ConnectorOptions<C>): Connector<C> {
    return new Connector(options);
  }

  /** Whether this entry has probably lost its links to all upstreams. */
  get isDetached(): boolean {
    return this.directLinks.isDetached;
  }

  /** Whether the own link to an upstream is broken, as far as this entry knows. */
  isBroken(address: string): boolean {
    return this.directLinks.isBroken(address);
  }

  /** Connects to an upstream. The error tells why the own link failed. */
  async connect(address: string): Promise<Result<C, LinkError>> {
    const way = this.directLinks.nextWay(address);
    if (way === 'detour') {
      const detour = await this.openDetour(address, way);
      return detour.isOk() ? detour : this.openDirect(address);
    }
    const direct = this.openDirect(address);
    if (way === 'direct') {
      const headStart = new AbortController();
      const waited = this.o.clock.sleep(headStartMs, headStart.signal);
      const early = await Promise.race([direct, waited]);
      headStart.abort(waitEnded);
      if (early?.isOk()) return early;
    }
    return this.race(address, direct, this.openDetour(address, way));
  }

  /** Resolves with the first connection that opens, and closes the other one. */
  private async race(
    address: string,
    direct: Promise<Result<C, LinkError>>,
    detour: Promise<Result<C, LinkError>>,
  ): Promise<Result<C, LinkError>> {
    const first = await firstOk(direct, detour);
    void Promise.all([direct, detour]).then(([own, other]) => {
      if (own.isErr() && other.isOk()) void this.checkLink(address, own.error);
      if (!own.isOk() || !other.isOk() || first.isErr()) return;
      this.o.links.close(first.value === own.value ? other.value : own.value);
    });
    return first;
  }

  /**
   * Looks into the own link to an upstream that another entry has reached. The upstream may have
   * been silent when the own link was tried, so it is tried once more, now that it is not.
   */
  private async checkLink(address: string, error: LinkError): Promise<void> {
    const again = error.isRefused ? err(error) : await this.openDirect(address);
    if (again.isOk()) this.o.links.close(again.value);
    else this.recordBroken(address);
  }

  private async openDirect(address: string): Promise<Result<C, LinkError>> {
    const opened = await this.o.links.direct(address);
    if (opened.isOk()) {
      this.directLinks.recordReached(address);
      this.logChange();
    }
    return opened;
  }

  /**
   * Asks other entries, one after the other. Where the own link is not known to be broken it is one,
   * in another data centre if possible, as the entries of a data centre often lose their links
   * together; otherwise two.
   */
  private async openDetour(address: string, way: Way): Promise<Result<C, LinkError>> {
    const { near, far } = this.usablePeers();
    const peers = way === 'direct' ? [far[0] ?? near[0]] : [near[0], far[0] ?? near[1]];
    for (const peer of peers) {
      if (peer === undefined) continue;
      const opened = await this.o.links.over(peer, address);
      this.o.metrics.count('detour', { outcome: opened.isOk() ? 'open' : opened.error.kind });
      if (opened.isOk()) return ok(opened.value);
      if (opened.error.kind === 'no-peer') this.peerFailedAt.set(peer, this.o.clock.now());
    }
    return err({ isRefused: false, detail: 'no other entry reaches it' });
  }

  private usablePeers(): Peers {
    const now = this.o.clock.now();
    const isUsable = (peer: NodeId) =>
      now - (this.peerFailedAt.get(peer) ?? -Infinity) >= avoidPeerMs;
    const { near, far } = this.o.peers();
    return { near: near.filter(isUsable), far: far.filter(isUsable) };
  }

  private recordBroken(address: string): void {
    this.directLinks.recordBroken(address);
    this.o.onBroken(address);
    this.logChange();
  }

  private logChange(): void {
    const { isDetached } = this;
    if (isDetached === this.wasDetached) return;
    this.wasDetached = isDetached;
    if (isDetached) this.o.logger.warn('Lost the links to upstreams; using other entries.', {});
    else this.o.logger.info('The links to upstreams are back.', {});
  }
}

/** The first result without an error, or the first argument's where both have one. */
async function firstOk<T, E>(
  a: Promise<Result<T, E>>,
  b: Promise<Result<T, E>>,
): Promise<Result<T, E>> {
  const first = await Promise.race([a, b]);
  if (first.isOk()) return first;
  const [own, other] = await Promise.all([a, b]);
  return other.isOk() ? other : own;
}
