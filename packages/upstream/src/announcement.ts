/** What an upstream tells of itself, as JSON over HTTP. */

import { err, ok } from 'neverthrow';
import type { Result } from 'neverthrow';
import { z } from 'zod';
import { UpstreamId } from '@tanagercart/base';

const nameSchema = z.string().min(1).max(200);

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

/** An announcement; also the heartbeat when it is repeated. */
export type Announcement = Omit<z.infer<typeof announcementSchema>, 'id'> & {
  readonly id: UpstreamId;
};

/** What the upstream is told in return. */
export interface AnnouncementReply {
  /** When to announce again. */
  readonly heartbeatMs: number;
  /** Base URLs to announce at, best first. */
  readonly to: readonly string[];
}

/** Parses an announcement; the error names the key. */
export function parseAnnouncement(body: unknown): Result<Announcement, string> {
  const parsed = announcementSchema.safeParse(body);
  if (parsed.success) return ok({ ...parsed.data, id: UpstreamId(parsed.data.id) });
  const [issue] = parsed.error.issues;
  return err(`${issue?.path.join('.') ?? ''}: ${issue?.message ?? 'malformed'}`);
}
