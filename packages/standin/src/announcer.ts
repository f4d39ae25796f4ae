/**
 * Announces a stand-in to the entry nodes with periodic heartbeats. The announcement goes to the
 * nodes that the last reply named and, where none of these accepts it, to the seed nodes.
 */

import { request } from 'undici';
import type { Clock } from '@tanagercart/base';

/** Pause after an announcement that no node accepted, in milliseconds. */
const retryMs = 200;

/** Timeout of one announcement, in milliseconds. */
const timeoutMs = 2000;

/**
 * The announced description of a stand-in. `role` says which layers of which model or which
 * service it offers; `load` reports its current queue.
 */
export interface StandInDescription {
  readonly id: string;
  readonly url: string;
  readonly dataCentre: string;
  readonly role: object;
  readonly load?: object;
}

/** The reply to an announcement: the heartbeat interval and the nodes to announce at next. */
interface AnnouncementReply {
  readonly heartbeatMs: number;
  readonly to: readonly string[];
}

/** A task that announces one stand-in until it is stopped. */
export class Announcer {
  private readonly stopping = new AbortController();
  private readonly incarnation: string;
  private targets: readonly string[];

  private constructor(
    private readonly clock: Clock,
    private readonly seeds: readonly string[],
    private readonly describe: () => StandInDescription,
    private readonly key: string | undefined,
  ) {
    this.targets = seeds;
    this.incarnation = `${describe().url}@${clock.wall()}`;
  }

  /**
   * Starts to announce. `describe` is called for every heartbeat; `key` is sent as the bearer
   * token where the system requires one.
   */
  static start(
    clock: Clock,
    seeds: readonly string[],
    self: () => StandInDescription,
    key?: string,
  ): Announcer {
    const announcer = new Announcer(clock, seeds, self, key);
    void announcer.announceUntilStopped();
    return announcer;
  }

  /** Stops the heartbeats without a last announcement, as a crash does. */
  stop(): void {
    this.stopping.abort();
  }

  /** Stops the heartbeats and announces that the upstream is leaving. */
  async announceLeaving(): Promise<void> {
    this.stop();
    await this.announce(true);
  }

  private async announceUntilStopped(): Promise<void> {
    const { signal } = this.stopping;
    while (!signal.aborted) {
      const reply = await this.announce(false);
      await this.clock.sleep(reply?.heartbeatMs ?? retryMs, signal);
    }
  }

  private async announce(leaving: boolean): Promise<AnnouncementReply | undefined> {
    for (const target of [...this.targets, ...this.seeds]) {
      const reply = await this.announceAt(target, leaving);
      if (!reply) continue;
      this.targets = reply.to;
      return reply;
    }
    return undefined;
  }

  private async announceAt(
    target: string,
    leaving: boolean,
  ): Promise<AnnouncementReply | undefined> {
    try {
      const response = await request(`${target}/upstreams/v1/announce`, {
        method: 'POST',
        headers: {
          'content-type': 'application/json',
          ...(this.key === undefined ? {} : { authorization: `Bearer ${this.key}` }),
        },
        body: JSON.stringify({ ...this.describe(), incarnation: this.incarnation, leaving }),
        headersTimeout: timeoutMs,
        bodyTimeout: timeoutMs,
      });
      if (response.statusCode === 200) return (await response.body.json()) as AnnouncementReply;
      await response.body.dump();
      return undefined;
    } catch {
      return undefined;
    }
  }
}
