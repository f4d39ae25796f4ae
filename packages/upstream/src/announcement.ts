/** The announcements that upstreams send about themselves, as JSON over HTTP. */

import { err, ok } from 'neverthrow';
import type { Result } from 'neverthrow';
import { z } from 'zod';
import { UpstreamId } from '@tanagercart/base';

const nameSchema = z.string().min(1).max(200);

/** A pipeline stage of an engine, which holds the layers from `from` up to but excluding `to`. */
const stageRoleSchema = z.object({
  kind: z.literal('stage'),
  model: nameSchema,
  versions: z.array(nameSchema),
  adapters: z.array(nameSchema).default([]),
  from: z.int().min(0),
  to: z.int().positive(),
  accelerator: nameSchema,
  tokensPerSecond: z.number().positive(),
  slots: z.int().positive(),
});

const serviceRoleSchema = z.object({ kind: z.literal('service'), service: nameSchema });

/** Optional load figures; times are in milliseconds. */
const loadSchema = z.object({
  queue: z.number().min(0).optional(),
  stepMs: z.number().positive().optional(),
  roundTripMs: z.record(nameSchema, z.number().positive()).optional(),
});

const announcementSchema = z.object({
  id: nameSchema,
  incarnation: nameSchema,
  url: z.url(),
  dataCentre: nameSchema,
  role: z.discriminatedUnion('kind', [stageRoleSchema, serviceRoleSchema]),
  leaving: z.boolean().default(false),
  load: loadSchema.optional(),
});

/** An announcement of an upstream. Repeated announcements are its heartbeats. */
export type Announcement = Omit<z.infer<typeof announcementSchema>, 'id'> & {
  readonly id: UpstreamId;
};

/** The reply to an announcement. */
export interface AnnouncementReply {
  /** Interval until the next announcement, in milliseconds. */
  readonly heartbeatMs: number;
  /** Base URLs of the nodes to announce to, best first. */
  readonly to: readonly string[];
}

/** Validates an announcement; the error names the invalid key and the reason. */
export function parseAnnouncement(body: unknown): Result<Announcement, string> {
  const parsed = announcementSchema.safeParse(body);
  if (parsed.success) return ok({ ...parsed.data, id: UpstreamId(parsed.data.id) });
  const [issue] = parsed.error.issues;
  return err(`${issue?.path.join('.') ?? ''}: ${issue?.message ?? 'malformed'}`);
}
