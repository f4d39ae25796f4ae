/**
 * Finds the line of an entry in the text of a note, for problems that are found after parsing: the
 * TOML parser reports positions only for syntax errors.
 */

/** The position of a key, a table or a list element in a TOML text. */
interface Location {
  /** Path from the root, such as `added.models[0].id`. */
  readonly path: string;
  /** Line, counted from 1. */
  readonly line: number;
  /** The value if it is a string. */
  readonly text: string | undefined;
}

/** Maps the entries of a valid TOML text to their lines. */
export class Locator {
  private constructor(private readonly locations: readonly Location[]) {}

  static create(text: string): Locator {
    return new Locator(new Scanner(text).scan());
  }

  /**
   * Returns the line of an entry such as `added.models "fig"` or `added.models[0].layers`. A key
   * that is missing has the line of the nearest table or list around it; 0 if there is none.
   */
  lineOf(entry: string): number {
    const named = /^(\S+) "([^"]*)"(?:\.(\S+))?$/.exec(entry);
    const path = named ? this.pathOfElement(named[1]!, named[2]!, named[3]) : entry;
    return path === undefined ? 0 : this.lineOfPath(path);
  }

  /** The path of the list element with this name or id, extended by `rest`. */
  private pathOfElement(list: string, name: string, rest?: string): string | undefined {
    const element = (p: Location) => /^(.*\[\d+\])(\.id)?$/.exec(p.path)?.[1];
    const match = this.locations.findLast(
      (p) => p.text === name && element(p)?.replace(/\[\d+\]$/, '') === list,
    );
    const found = match && element(match);
    return found && rest ? `${found}.${rest}` : found;
  }

  /** The line of the path, or of the longest prefix of it that occurs in the text. */
  private lineOfPath(path: string): number {
    const found = this.locations.find((p) => p.path === path);
    if (found) return found.line;
    const parent = path.replace(/(\.[^.[\]]+|\[\d+\])$/, '');
    return parent === path ? 0 : this.lineOfPath(parent);
  }
}

/**
 * Scans a TOML text that the parser accepted and records the position of each key. It does not
 * validate the text.
 */
class Scanner {
  private offset = 0;
  private line = 1;
  private readonly locations: Location[] = [];
  /** Number of elements so far of each list of tables, by path. */
  private readonly counts = new Map<string, number>();

  constructor(private readonly text: string) {}

  scan(): readonly Location[] {
    let table = '';
    for (;;) {
      this.skipBlank(/[\s]/);
      if (this.offset >= this.text.length) return this.locations;
      if (this.peek() === '[') table = this.scanHeader();
      else this.scanPair(table);
    }
  }

  /** Scans a header such as `[withdrawn]` or `[[added.models]]`, and returns its path. */
  private scanHeader(): string {
    const { line } = this;
    const isList = this.text.startsWith('[[', this.offset);
    this.advance(isList ? 2 : 1);
    const path = this.indexedPath(this.scanKey(), isList);
    this.advance(isList ? 2 : 1);
    this.locations.push({ path, line, text: undefined });
    return path;
  }

  /** Joins the keys, and adds the index of the current element after each list of tables. */
  private indexedPath(keys: readonly string[], isList: boolean): string {
    return keys.reduce((path, key, i) => {
      const listPath = joinPath(path, key);
      const isLast = i === keys.length - 1;
      const count = this.counts.get(listPath);
      if (isList && isLast) {
        this.counts.set(listPath, (count ?? 0) + 1);
        return `${listPath}[${count ?? 0}]`;
      }
      return count === undefined ? listPath : `${listPath}[${count - 1}]`;
    }, '');
  }

  /** Scans a key with its value. */
  private scanPair(table: string): void {
    const { line } = this;
    const path = this.scanKey().reduce(joinPath, table);
    this.advance(1);
    this.scanValue(path, line);
  }

  /** Scans a key, which may be dotted and quoted. */
  private scanKey(): readonly string[] {
    const keys: string[] = [];
    for (;;) {
      this.skipBlank(/[ \t]/);
      keys.push(this.isQuote() ? this.scanString() : this.scanBare(/[A-Za-z0-9_-]/));
      this.skipBlank(/[ \t]/);
      if (this.peek() !== '.') return keys;
      this.advance(1);
    }
  }

  /** Scans a value and records its position under `path`. */
  private scanValue(path: string, line: number): void {
    this.skipBlank(/[ \t]/);
    if (this.isQuote()) {
      this.locations.push({ path, line, text: this.scanString() });
      return;
    }
    this.locations.push({ path, line, text: undefined });
    if (this.peek() === '[') this.scanArray(path);
    else if (this.peek() === '{') this.scanInlineTable(path);
    else this.scanBare(/[^\s,\]}#]/);
  }

  private scanArray(path: string): void {
    this.advance(1);
    for (let i = 0; ; i += 1) {
      this.skipBlank(/[\s,]/);
      if (this.scanEnd(']')) return;
      this.scanValue(`${path}[${i}]`, this.line);
    }
  }

  private scanInlineTable(path: string): void {
    this.advance(1);
    for (;;) {
      this.skipBlank(/[\s,]/);
      if (this.scanEnd('}')) return;
      this.scanPair(path);
    }
  }

  /** Consumes the closing bracket, and returns whether the list or the text ends here. */
  private scanEnd(end: string): boolean {
    const atEnd = this.offset >= this.text.length;
    if (this.peek() === end) this.advance(1);
    else if (!atEnd) return false;
    return true;
  }

  /** Scans a string and returns it without resolving escape sequences. */
  private scanString(): string {
    const quote = this.peek();
    const delimiter = this.text.startsWith(quote.repeat(3), this.offset) ? quote.repeat(3) : quote;
    this.advance(delimiter.length);
    const start = this.offset;
    while (this.offset < this.text.length && !this.text.startsWith(delimiter, this.offset)) {
      this.advance(quote === '"' && this.peek() === '\\' ? 2 : 1);
    }
    const content = this.text.slice(start, this.offset);
    this.advance(delimiter.length);
    return content;
  }

  /** Scans a bare key or a value that is not a string, list or table. */
  private scanBare(allowed: RegExp): string {
    const start = this.offset;
    while (this.offset < this.text.length && allowed.test(this.peek())) this.advance(1);
    // A text that the parser accepted always has an allowed character here. Advancing regardless
    // prevents an endless loop on any other text.
    if (this.offset === start) this.advance(1);
    return this.text.slice(start, this.offset);
  }

  /** Skips the given blanks, and also comments if line breaks are among the blanks. */
  private skipBlank(space: RegExp): void {
    for (;;) {
      while (this.offset < this.text.length && space.test(this.peek())) this.advance(1);
      if (this.peek() !== '#' || !space.test('\n')) return;
      while (this.offset < this.text.length && this.peek() !== '\n') this.advance(1);
    }
  }

  private isQuote(): boolean {
    return this.peek() === '"' || this.peek() === "'";
  }

  private peek(): string {
    return this.text[this.offset] ?? '';
  }

  private advance(count: number): void {
    for (let i = 0; i < count; i += 1) {
      if (this.text[this.offset] === '\n') this.line += 1;
      this.offset += 1;
    }
  }
}

function joinPath(path: string, key: string): string {
  return path === '' ? key : `${path}.${key}`;
}
