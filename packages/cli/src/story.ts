/** Tells the story of one request from the log lines of many processes. */

/** One log line. */
export interface LogLine {
  readonly host: string;
  /** Wall time of the writer, in milliseconds since 1970. */
  readonly at: number;
  readonly sentence: string;
  readonly fields: Readonly<Record<string, unknown>>;
  /** Where the line stood in the input. */
  readonly order: number;
}

/** Lines about the upstreams of a request count where they are this near to it, in milliseconds. */
const aroundMs = 5000;

/** Fields of every line that say nothing of the request. */
const common = new Set(['name', 'hostname', 'pid', 'level', 'msg', 'time', 'v', 'request']);

/** Reads a line; whatever stands before the record, such as a time of another writer, is skipped. */
export function readLine(text: string, order: number): LogLine | undefined {
  const start = text.indexOf('{');
  if (start < 0) return undefined;
  let raw: Record<string, unknown>;
  try {
    raw = JSON.parse(text.slice(start)) as Record<string, unknown>;
  } catch {
    return undefined;
  }
  if (typeof raw.msg !== 'string') return undefined;
  return {
    host: String(raw.hostname ?? ''),
    at: Date.parse(String(raw.time ?? '')) || 0,
    sentence: raw.msg,
    fields: raw,
    order,
  };
}

/** The story as lines of text; empty where no line names the request. */
export function storyOf(lines: readonly LogLine[], request: string): readonly string[] {
  const own = lines.filter((l) => l.fields.request === request);
  const [first] = own;
  if (!first) return [];
  const told = [...own].sort(byTime);
  const start = told[0]!.at;
  const end = told.at(-1)!.at;
  const around = lines.filter(
    (l) =>
      l.fields.request === undefined &&
      l.at >= start - aroundMs &&
      l.at <= end + aroundMs &&
      concerns(l, own),
  );
  const text = (l: LogLine) => describe(l, start);
  const hosts = new Set(own.map((l) => l.host));
  const context = [...around]
    .sort(byTime)
    .filter((l) => isNews(l, hosts))
    .map(text);
  const heading =
    context.length > 0 ? ['', 'What processes learned of its upstreams around then:'] : [];
  return [`Request ${request}`, ...told.map(text), ...heading, ...context];
}

/** Within one host the order of writing counts, as its lines carry the same clock. */
function byTime(a: LogLine, b: LogLine): number {
  if (a.host === b.host) return a.order - b.order;
  return a.at - b.at;
}

/** What other entries learned is left out: only those of the request, and the voters, decided. */
function isNews(line: LogLine, hosts: ReadonlySet<string>): boolean {
  return hosts.has(line.host) || !line.sentence.startsWith('fleet: ');
}

/** Whether a line names an upstream that a line of the request names. */
function concerns(line: LogLine, own: readonly LogLine[]): boolean {
  const { upstream, address } = line.fields;
  return own.some(({ fields }) => {
    const path = String(fields.path ?? '');
    if (upstream !== undefined && fields.upstream === upstream) return true;
    if (address === undefined) return false;
    return path.includes(`${String(address)}=`) || fields.culprit === address;
  });
}

function describe(line: LogLine, start: number): string {
  const fields = Object.entries(line.fields)
    .filter(([key]) => !common.has(key))
    .map(([key, value]) => `${key}=${typeof value === 'string' ? value : JSON.stringify(value)}`);
  const offset = `${line.at - start} ms`.padStart(9);
  return `${offset}  ${line.host.padEnd(22)} ${line.sentence} ${fields.join(' ')}`.trimEnd();
}
