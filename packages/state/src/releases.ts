/** The current release, and the notes that produced it. */

import { invariant } from '@tanagercart/base';
import type { Digest, Millis } from '@tanagercart/base';
import { Release, applyNote } from '@tanagercart/release';
import type { NoteProblem, ReleaseNote, ReleaseParts } from '@tanagercart/release';

/** Submits a release note. */
export interface ReleaseCommand {
  readonly kind: 'accept-release';
  readonly note: ReleaseNote;
  readonly digest: Digest;
  readonly at: Millis;
}

/** The outcome of submitting a note. */
export type ReleaseOutcome =
  | {
      readonly kind: 'release-accepted';
      readonly number: number;
      readonly index: number;
      /** Whether the same note had been accepted before. */
      readonly resend: boolean;
    }
  /** The number of the note is not the next one; holds those of the current release. */
  | { readonly kind: 'release-conflict'; readonly number: number; readonly inForce: Digest }
  | { readonly kind: 'release-invalid'; readonly problems: readonly NoteProblem[] };

/** Bounds the accepted notes whose headers are kept, and so how late a resend is recognised. */
const maxKeptHeaders = 4096;

/** Bounds the accepted notes whose content is kept. */
const maxKeptNotes = 16;

/** The header of an accepted release note. */
export interface AcceptedNote {
  readonly number: number;
  readonly digest: Digest;
  readonly author: string;
  /** Log index at which the note was accepted. */
  readonly index: number;
  /** Wall time at which the note was submitted. */
  readonly at: Millis;
}

/** The table as a snapshot stores it. */
export interface ReleaseSnapshot {
  readonly number: number;
  readonly parts: ReleaseParts;
  readonly accepted: readonly AcceptedNote[];
  readonly notes: readonly ReleaseNote[];
}

/** The current release. Accepts notes in the order of their numbers, without gaps. */
export class ReleaseTable {
  private release = Release.empty();
  private readonly headers: AcceptedNote[] = [];
  private readonly fullNotes: ReleaseNote[] = [];

  static create(): ReleaseTable {
    return new ReleaseTable();
  }

  /** The release that the last accepted note produced. */
  get current(): Release {
    return this.release;
  }

  /** The headers of the last `maxKeptHeaders` accepted notes, the oldest first. */
  get accepted(): readonly AcceptedNote[] {
    return this.headers;
  }

  /** The content of one of the last `maxKeptNotes` accepted notes. */
  note(number: number): ReleaseNote | undefined {
    return this.fullNotes.find((n) => n.number === number);
  }

  /**
   * Accepts a note with the next number. A note that was accepted before gets its first outcome
   * again; any other note is a conflict.
   */
  apply(index: number, { note, digest, at }: ReleaseCommand): ReleaseOutcome {
    const { number, author } = note;
    const earlier = this.headerOf(number);
    if (earlier?.digest === digest) {
      return { kind: 'release-accepted', number, index: earlier.index, resend: true };
    }
    if (number !== this.release.number + 1) {
      const inForce = this.headers.at(-1)?.digest ?? ('' as Digest);
      return { kind: 'release-conflict', number: this.release.number, inForce };
    }
    const next = applyNote(this.release, note);
    if (next.isErr()) {
      return { kind: 'release-invalid', problems: next.error };
    }
    this.release = next.value;
    this.recordNote({ number, digest, author, index, at }, note);
    return { kind: 'release-accepted', number, index, resend: false };
  }

  snapshot(): ReleaseSnapshot {
    const { number } = this.release;
    return { number, parts: this.release.parts(), accepted: this.headers, notes: this.fullNotes };
  }

  restore(snapshot: ReleaseSnapshot): void {
    invariant(snapshot.number >= this.release.number, 'a snapshot must not revert the release');
    this.release = Release.create(snapshot.number, snapshot.parts);
    this.headers.splice(0, Infinity, ...snapshot.accepted);
    this.fullNotes.splice(0, Infinity, ...snapshot.notes);
  }

  private headerOf(number: number): AcceptedNote | undefined {
    const first = this.headers[0]?.number ?? 0;
    return this.headers[number - first];
  }

  private recordNote(header: AcceptedNote, note: ReleaseNote): void {
    this.headers.push(header);
    if (this.headers.length > maxKeptHeaders) this.headers.shift();
    this.fullNotes.push(note);
    if (this.fullNotes.length > maxKeptNotes) this.fullNotes.shift();
  }
}
