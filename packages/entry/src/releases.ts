/** Handlers by which operators submit, preview, show and list release notes. */

import type { IncomingMessage, ServerResponse } from 'node:http';
import { err, ok } from 'neverthrow';
import type { Result } from 'neverthrow';
import { unreachable } from '@tanagercart/base';
import type { Clock, Digest, Millis } from '@tanagercart/base';
import { submitReleaseNote } from '@tanagercart/membership';
import type { ProgressClient } from '@tanagercart/membership';
import {
  applyNote,
  differenceOf,
  digestOfNote,
  parseNote,
  withLineNumbers,
} from '@tanagercart/release';
import type { NoteProblem, ReleaseNote } from '@tanagercart/release';
import type { Outcome, Proposer, ReleaseOutcome, SharedState } from '@tanagercart/state';
import { readBody, sendJson } from './body.js';

/** Timeout for the shared log to accept a note. */
const acceptTimeoutMs: Millis = 5000;

/** How long the handler waits for an accepted note to be in force on all nodes. */
const inForceTimeoutMs: Millis = 10_000;

/** Largest note, in bytes. */
const maxNoteBytes = 8 * 1024 * 1024;

/** Parts of the node that these handlers use. */
export interface ReleaseHandlerOptions {
  readonly state: SharedState;
  readonly proposer: Proposer;
  readonly progress: ProgressClient;
  readonly clock: Clock;
}

/** A parsed note, and its text, in which the lines of problems are looked up. */
interface SubmittedNote {
  readonly text: string;
  readonly note: ReleaseNote;
  readonly digest: Digest;
}

/**
 * Submits a note and waits until it is in force on all nodes. If that takes too long, the answer
 * reports how far the note has spread. The error code is `unknown` if the note may or may not have
 * been accepted.
 */
export async function submitRelease(
  o: ReleaseHandlerOptions,
  req: IncomingMessage,
  res: ServerResponse,
): Promise<void> {
  const submitted = await readNote(req, res);
  if (submitted.isErr()) return;
  const { digest, note } = submitted.value;
  const command = { kind: 'accept-release', note, digest, at: o.clock.wall() } as const;
  const committed = await submitReleaseNote(o.proposer, o.clock, command, acceptTimeoutMs);
  if (committed.isErr()) {
    const { kind, detail } = committed.error;
    const message =
      kind === 'unknown' ? 'the note may or may not be accepted; submit it again' : detail;
    sendJson(res, 503, { error: { code: kind, message } });
    return;
  }
  const { outcome } = committed.value;
  if (!isReleaseOutcome(outcome)) {
    sendJson(res, 500, { error: { code: 'unknown', message: outcome.kind } });
    return;
  }
  await sendOutcome(o, res, submitted.value, outcome);
}

/** Checks a note against the release of this node, and sends the difference; changes nothing. */
export async function previewRelease(
  o: ReleaseHandlerOptions,
  req: IncomingMessage,
  res: ServerResponse,
): Promise<void> {
  const submitted = await readNote(req, res);
  if (submitted.isErr()) return;
  const { note, digest, text } = submitted.value;
  const { release, releases } = o.state;
  if (note.number !== release.number + 1) {
    const inForce = releases.accepted.at(-1)?.digest;
    sendConflict(res, release.number, inForce);
    return;
  }
  const applied = applyNote(release, note);
  if (applied.isErr()) {
    sendInvalid(res, withLineNumbers(text, applied.error));
    return;
  }
  const difference = differenceOf(release, note);
  sendJson(res, 200, { number: note.number, digest, dryRun: true, difference });
}

/** Sends the release in force, or the recent note with `number` if given. */
export function showRelease(o: ReleaseHandlerOptions, res: ServerResponse, number?: number): void {
  const { release, releases } = o.state;
  if (number === undefined) {
    const inForce = releases.accepted.at(-1);
    sendJson(res, 200, { ...inForce, number: release.number, release: release.parts() });
    return;
  }
  const accepted = releases.accepted.find((n) => n.number === number);
  if (!accepted) {
    const message = `note ${number} is not known; the last accepted is ${release.number}`;
    sendJson(res, 404, { error: { code: 'not-found', message } });
    return;
  }
  sendJson(res, 200, { ...accepted, note: releases.note(number) });
}

/** Sends the recent notes without their content, oldest first. */
export function listReleases(o: ReleaseHandlerOptions, res: ServerResponse): void {
  sendJson(res, 200, { notes: o.state.releases.accepted });
}

/** Reads the note in a request. Sends the error itself if the note cannot be used. */
async function readNote(
  req: IncomingMessage,
  res: ServerResponse,
): Promise<Result<SubmittedNote, undefined>> {
  const body = await readBody(req, maxNoteBytes);
  if (body.isErr()) {
    sendJson(res, 413, { error: { code: 'too-large', message: 'the note is too large' } });
    return err(undefined);
  }
  const text = body.value.toString();
  const note = parseNote(text);
  if (note.isErr()) {
    sendInvalid(res, note.error);
    return err(undefined);
  }
  return ok({ text, note: note.value, digest: digestOfNote(note.value) });
}

async function sendOutcome(
  o: ReleaseHandlerOptions,
  res: ServerResponse,
  submitted: SubmittedNote,
  outcome: ReleaseOutcome,
): Promise<void> {
  switch (outcome.kind) {
    case 'release-accepted': {
      const { number, index, resend } = outcome;
      const spread = await o.progress.waitUntilInForce(index, inForceTimeoutMs);
      const inForce = spread.kind === 'in-force';
      const { digest } = submitted;
      return sendJson(res, 200, { number, digest, resend, index, inForce, spread });
    }
    case 'release-conflict':
      return sendConflict(res, outcome.number, outcome.inForce);
    case 'release-invalid':
      return sendInvalid(res, withLineNumbers(submitted.text, outcome.problems));
    default:
      return unreachable(outcome);
  }
}

function sendConflict(res: ServerResponse, number: number, inForce: Digest | undefined): void {
  const message =
    number === 0
      ? 'no release is in force; the first note has number 1'
      : `release ${number} with digest ${inForce} is in force`;
  sendJson(res, 409, { error: { code: 'conflict', message, number, inForce } });
}

function sendInvalid(res: ServerResponse, problems: readonly NoteProblem[]): void {
  sendJson(res, 422, {
    error: { code: 'invalid-note', message: 'the note is not valid', problems },
  });
}

function isReleaseOutcome(outcome: Outcome): outcome is ReleaseOutcome {
  return outcome.kind.startsWith('release-');
}
