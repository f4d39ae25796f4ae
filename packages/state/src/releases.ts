/** The release in force, and the notes that led to it. */

import { invariant } from '@tanagercart/base';
import type { Digest, Millis } from '@tanagercart/base';
import { Release, applyNote } from '@tanagercart/release';
import type { NoteProblem, ReleaseNote, ReleaseParts } from '@tanagercart/release';

/** Changes of the release. */
export interface ReleaseCommand {
  readonly kind: 'accept-release';
  readonly note: ReleaseNote;
  readonly digest: Digest;
  readonly at: Millis;
}

/** What became of a note. */
export type ReleaseOutcome =
  | {
      readonly kind: 'release-accepted';
      readonly number: number;
      readonly index: number;
      readonly resend: boolean;
    }
  | { readonly kind: 'release-conflict'; readonly number: number; readonly inForce: Digest }
  | { readonly kind: 'release-invalid'; readonly problems: readonly NoteProblem[] };

/** Accepted notes of which the number, digest and author are kept. */
const keptHeaders = 4096;

/** Accepted notes that are kept in full. */
const keptNotes = 16;

/** What is remembered of an accepted release note. */
export interface AcceptedNote {
  readonly number: number;
  readonly digest: Digest;
  readonly author: string;
  /** Log index of its acceptance. */
  readonly index: number;
  /** Wall time of its acceptance. */
  readonly at: Millis;
}

/** The releases as a snapshot holds them. */
export interface ReleaseSnapshot {
  readonly number: number;
  readonly parts: ReleaseParts;
  readonly accepted: readonly AcceptedNote[];
  readonly notes: readonly ReleaseNote[];
}

/** Accepts notes in order of their numbers. */
export class ReleaseTable {
  private release = Release.empty();
  private readonly headers: AcceptedNote[] = [];
  private readonly full: ReleaseNote[] = [];

  static create(): ReleaseTable {
    return new ReleaseTable();
  }

  /** The release of the last note accepted. */
  get current(): Release {
    return this.release;
  }

  /** The recent accepted notes without their content, oldest first. */
  get accepted(): readonly AcceptedNote[] {
    return this.headers;
  }

  /** The content of a recent note. */
  note(number: number): ReleaseNote | undefined {
    return this.full.find((n) => n.number === number);
  }

  /** Accepts a note whose number is next; a resend gets its first answer, any other is a conflict. */
  apply(index: number, { note, digest, at }: ReleaseCommand): ReleaseOutcome {
    const { number, author } = note;
    const earlier = this.header(number);
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
    this.remember({ number, digest, author, index, at }, note);
    return { kind: 'release-accepted', number, index, resend: false };
  }

  snapshot(): ReleaseSnapshot {
    const { number } = this.release;
    return { number, parts: this.release.parts(), accepted: this.headers, notes: this.full };
  }

  restore(snapshot: ReleaseSnapshot): void {
    invariant(snapshot.number >= this.release.number, 'a snapshot must not revert the release');
    this.release = Release.create(snapshot.number, snapshot.parts);
    this.headers.splice(0, Infinity, ...snapshot.accepted);
    this.full.splice(0, Infinity, ...snapshot.notes);
  }

  private header(number: number): AcceptedNote | undefined {
    const first = this.headers[0]?.number ?? 0;
    return this.headers[number - first];
  }

  private remember(header: AcceptedNote, note: ReleaseNote): void {
    this.headers.push(header);
    if (this.headers.length > keptHeaders) this.headers.shift();
    this.full.push(note);
    if (this.full.length > keptNotes) this.full.shift();
  }
}
