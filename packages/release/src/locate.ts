/** Finds the lines of a note's entries in its text, which the TOML parser does not tell. */

/** A key or a list element of a TOML text. */
interface Place {
  /** Path from the root, such as `added.models[0].id`. */
  readonly path: string;
  /** Line, counted from 1. */
  readonly line: number;
  /** The value where it is a string. */
  readonly text: string | undefined;
}

/** The places of every key in a valid TOML text. */
export class Locator {
  private constructor(private readonly places: readonly Place[]) {}

  static create(text: string): Locator {
    return new Locator(new Scan(text).run());
  }

  /** The line of an entry such as `added.models "fig"` or `added.models[0].layers`; 0 if it has none. */
  lineOf(entry: string): number {
    const named = /^(\S+) "([^"]*)"(?:\.(\S+))?$/.exec(entry);
    const path = named ? this.pathOf(named[1]!, named[2]!, named[3]) : entry;
    return path === undefined ? 0 : this.nearest(path);
  }

  private pathOf(list: string, name: string, rest?: string): string | undefined {
    const element = (p: Place) => /^(.*\[\d+\])(\.id)?$/.exec(p.path)?.[1];
    const at = this.places.findLast(
      (p) => p.text === name && element(p)?.replace(/\[\d+\]$/, '') === list,
    );
    const found = at && element(at);
    return found && rest ? `${found}.${rest}` : found;
  }

  /** The line of the path, or of the nearest part around it that stands in the text. */
  private nearest(path: string): number {
    const found = this.places.find((p) => p.path === path);
    if (found) return found.line;
    const around = path.replace(/(\.[^.[\]]+|\[\d+\])$/, '');
    return around === path ? 0 : this.nearest(around);
  }
}

/** One pass over a text that the parser accepted. */
class Scan {
  private at = 0;
  private line = 1;
  private readonly places: Place[] = [];
  private readonly counts = new Map<string, number>();

  constructor(private readonly text: string) {}

  run(): readonly Place[] {
    let table = '';
    for (;;) {
      this.blank(/[\s]/);
      if (this.at >= this.text.length) return this.places;
      if (this.peek() === '[') table = this.header();
      else this.pair(table);
    }
  }

  private header(): string {
    const { line } = this;
    const list = this.text.startsWith('[[', this.at);
    this.skip(list ? 2 : 1);
    const path = this.indexed(this.key(), list);
    this.skip(list ? 2 : 1);
    this.places.push({ path, line, text: undefined });
    return path;
  }

  /** Puts the index of the current element after each list on the way. */
  private indexed(keys: readonly string[], list: boolean): string {
    return keys.reduce((path, key, i) => {
      const here = join(path, key);
      const last = i === keys.length - 1;
      const count = this.counts.get(here);
      if (list && last) {
        this.counts.set(here, (count ?? 0) + 1);
        return `${here}[${count ?? 0}]`;
      }
      return count === undefined ? here : `${here}[${count - 1}]`;
    }, '');
  }

  private pair(table: string): void {
    const { line } = this;
    const path = this.key().reduce(join, table);
    this.skip(1);
    this.value(path, line);
  }

  private key(): readonly string[] {
    const keys: string[] = [];
    for (;;) {
      this.blank(/[ \t]/);
      keys.push(this.isQuote() ? this.quoted() : this.bare(/[A-Za-z0-9_-]/));
      this.blank(/[ \t]/);
      if (this.peek() !== '.') return keys;
      this.skip(1);
    }
  }

  private value(path: string, line: number): void {
    this.blank(/[ \t]/);
    if (this.isQuote()) {
      this.places.push({ path, line, text: this.quoted() });
      return;
    }
    this.places.push({ path, line, text: undefined });
    if (this.peek() === '[') this.array(path);
    else if (this.peek() === '{') this.inline(path);
    else this.bare(/[^\s,\]}#]/);
  }

  private array(path: string): void {
    this.skip(1);
    for (let i = 0; ; i += 1) {
      this.blank(/[\s,]/);
      if (this.done(']')) return;
      this.value(`${path}[${i}]`, this.line);
    }
  }

  private inline(path: string): void {
    this.skip(1);
    for (;;) {
      this.blank(/[\s,]/);
      if (this.done('}')) return;
      this.pair(path);
    }
  }

  private done(end: string): boolean {
    const over = this.at >= this.text.length;
    if (this.peek() === end) this.skip(1);
    else if (!over) return false;
    return true;
  }

  private quoted(): string {
    const quote = this.peek();
    const mark = this.text.startsWith(quote.repeat(3), this.at) ? quote.repeat(3) : quote;
    this.skip(mark.length);
    const start = this.at;
    while (this.at < this.text.length && !this.text.startsWith(mark, this.at)) {
      this.skip(quote === '"' && this.peek() === '\\' ? 2 : 1);
    }
    const inner = this.text.slice(start, this.at);
    this.skip(mark.length);
    return inner;
  }

  private bare(allowed: RegExp): string {
    const start = this.at;
    while (this.at < this.text.length && allowed.test(this.peek())) this.skip(1);
    // A text that the parser accepted always gets on; the step keeps any other from hanging here.
    if (this.at === start) this.skip(1);
    return this.text.slice(start, this.at);
  }

  private blank(space: RegExp): void {
    for (;;) {
      while (this.at < this.text.length && space.test(this.peek())) this.skip(1);
      if (this.peek() !== '#' || !space.test('\n')) return;
      while (this.at < this.text.length && this.peek() !== '\n') this.skip(1);
    }
  }

  private isQuote(): boolean {
    return this.peek() === '"' || this.peek() === "'";
  }

  private peek(): string {
    return this.text[this.at] ?? '';
  }

  private skip(count: number): void {
    for (let i = 0; i < count; i += 1) {
      if (this.text[this.at] === '\n') this.line += 1;
      this.at += 1;
    }
  }
}

function join(path: string, key: string): string {
  return path === '' ? key : `${path}.${key}`;
}
