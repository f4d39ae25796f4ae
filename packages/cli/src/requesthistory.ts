/** Assembles the history of one request from the log lines of many processes. */

/** One log line. */
export interface LogLine {
  readonly host: string;
  /** Wall-clock time of the process that wrote the line, in milliseconds since 1970. */
  readonly timeMs: number;
  readonly message: string;
  readonly fields: Readonly<Record<string, unknown>>;
  /** Position of the line in the input. */
  readonly inputOrder: number;
}

/** Window before and after a request for lines about its upstreams, in milliseconds. */
const contextWindowMs = 5000;

/** Fields that all lines have and that are not printed. */
const commonFields = new Set(['name', 'hostname', 'pid', 'level', 'msg', 'time', 'v', 'request']);

/** Parses a log line. Text before the record, such as a collector's timestamp, is skipped. */
export function parseLogLine(text: string, order: number): LogLine | undefined {
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
    timeMs: Date.parse(String(raw.time ?? '')) || 0,
    message: raw.msg,
    fields: raw,
    inputOrder: order,
  };
}

/** The history of a request as lines of text; empty if no line names the request. */
export function requestHistory(lines: readonly LogLine[], request: string): readonly string[] {
  const own = lines.filter((l) => l.fields.request === request);
  const [first] = own;
  if (!first) return [];
  const sorted = [...own].sort(byTime);
  const start = sorted[0]!.timeMs;
  const end = sorted.at(-1)!.timeMs;
  const around = lines.filter(
    (l) =>
      l.fields.request === undefined &&
      l.timeMs >= start - contextWindowMs &&
      l.timeMs <= end + contextWindowMs &&
      sharesUpstream(l, own),
  );
  const text = (l: LogLine) => formatLine(l, start);
  const hosts = new Set(own.map((l) => l.host));
  const context = [...around]
    .sort(byTime)
    .filter((l) => isRelevant(l, hosts))
    .map(text);
  const heading =
    context.length > 0 ? ['', 'What processes learned of its upstreams around then:'] : [];
  return [`Request ${request}`, ...sorted.map(text), ...heading, ...context];
}

/** Orders lines by time, and lines of one host in the order in which they were written. */
function byTime(a: LogLine, b: LogLine): number {
  if (a.host === b.host) return a.inputOrder - b.inputOrder;
  return a.timeMs - b.timeMs;
}

/**
 * Excludes the lines in which other entry nodes observed the fleet: only the hosts that handled the
 * request, and the voters, made decisions about it.
 */
function isRelevant(line: LogLine, hosts: ReadonlySet<string>): boolean {
  return hosts.has(line.host) || !line.message.startsWith('fleet: ');
}

/** Whether a line names an upstream that a line of the request names. */
function sharesUpstream(line: LogLine, own: readonly LogLine[]): boolean {
  const { upstream, address } = line.fields;
  return own.some(({ fields }) => {
    const path = String(fields.path ?? '');
    if (upstream !== undefined && fields.upstream === upstream) return true;
    if (address === undefined) return false;
    return path.includes(`${String(address)}=`) || fields.culprit === address;
  });
}

function formatLine(line: LogLine, start: number): string {
  const fields = Object.entries(line.fields)
    .filter(([key]) => !commonFields.has(key))
    .map(([key, value]) => `${key}=${typeof value === 'string' ? value : JSON.stringify(value)}`);
  const offset = `${line.timeMs - start} ms`.padStart(9);
  return `${offset}  ${line.host.padEnd(22)} ${line.message} ${fields.join(' ')}`.trimEnd();
}
