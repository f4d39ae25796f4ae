/** What an upstream tells of itself, as JSON over HTTP. */

import { err, ok } from 'neverthrow';
import type { Result } from 'neverthrow';
import { z } from 'zod';
import { UpstreamId } from '@tanagercart/base';

const name = z.string().min(1).max(200);

const stageRole = z.object({
  kind: z.literal('stage'),
  model: name,
  versions: z.array(name),
  adapters: z.array(name).default([]),
  from: z.int().min(0),
  to: z.int().positive(),
  accelerator: name,
  tokensPerSecond: z.number().positive(),
  slots: z.int().positive(),
});

const serviceRole = z.object({ kind: z.literal('service'), service: name });

const load = z.object({
  queue: z.number().min(0).optional(),
  stepMs: z.number().positive().optional(),
  roundTripMs: z.record(name, z.number().positive()).optional(),
});

const announcement = z.object({
  id: name,
  incarnation: name,
  url: z.url(),
  dataCentre: name,
  role: z.discriminatedUnion('kind', [stageRole, serviceRole]),
  leaving: z.boolean().default(false),
  load: load.optional(),
});

/** An announcement; also the heartbeat when it is repeated. */
export type Announcement = Omit<z.infer<typeof announcement>, 'id'> & { readonly id: UpstreamId };

/** What the upstream is told in return. */
export interface AnnouncementReply {
  /** When to announce again. */
  readonly heartbeatMs: number;
  /** Base URLs to announce at, best first. */
  readonly to: readonly string[];
}

/** Parses an announcement; the error names the key. */
export function parseAnnouncement(body: unknown): Result<Announcement, string> {
  const parsed = announcement.safeParse(body);
  if (parsed.success) return ok({ ...parsed.data, id: UpstreamId(parsed.data.id) });
  const [issue] = parsed.error.issues;
  return err(`${issue?.path.join('.') ?? ''}: ${issue?.message ?? 'malformed'}`);
}
