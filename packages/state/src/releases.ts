/** The release in force, and every note that led to it. */

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

/** An accepted release note. */
export interface AcceptedNote {
  readonly number: number;
  readonly digest: Digest;
  readonly author: string;
  /** Log index of its acceptance. */
  readonly index: number;
  /** Wall time of its acceptance. */
  readonly at: Millis;
  readonly note: ReleaseNote;
}

/** The releases as a snapshot holds them. */
export interface ReleaseImage {
  readonly number: number;
  readonly parts: ReleaseParts;
  readonly notes: readonly AcceptedNote[];
}

/** Accepts notes in order of their numbers. */
export class ReleaseTable {
  private release = Release.empty();
  private accepted: readonly AcceptedNote[] = [];

  static create(): ReleaseTable {
    return new ReleaseTable();
  }

  /** The release of the last note accepted. */
  get current(): Release {
    return this.release;
  }

  /** Every accepted note, oldest first. */
  get notes(): readonly AcceptedNote[] {
    return this.accepted;
  }

  /** Accepts a note whose number is next; a resend gets its first answer, any other is a conflict. */
  apply(index: number, { note, digest, at }: ReleaseCommand): ReleaseOutcome {
    const { number, author } = note;
    const earlier = this.accepted.find((n) => n.number === number);
    if (earlier?.digest === digest) {
      return { kind: 'release-accepted', number, index: earlier.index, resend: true };
    }
    if (number !== this.release.number + 1) {
      const inForce = this.accepted.at(-1)?.digest ?? ('' as Digest);
      return { kind: 'release-conflict', number: this.release.number, inForce };
    }
    const next = applyNote(this.release, note);
    if (next.isErr()) {
      return { kind: 'release-invalid', problems: next.error };
    }
    this.release = next.value;
    this.accepted = [...this.accepted, { number, digest, author, index, at, note }];
    return { kind: 'release-accepted', number, index, resend: false };
  }

  image(): ReleaseImage {
    return { number: this.release.number, parts: this.release.parts(), notes: this.accepted };
  }

  restore(image: ReleaseImage): void {
    invariant(image.number >= this.release.number, 'a snapshot must not revert the release');
    this.release = Release.create(image.number, image.parts);
    this.accepted = image.notes;
  }
}
