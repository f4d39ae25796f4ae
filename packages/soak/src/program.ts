/** One program of a run: a process that is started, and hit, from outside. */

import { spawn } from 'node:child_process';
import type { ChildProcess } from 'node:child_process';
import { once } from 'node:events';
import { createWriteStream } from 'node:fs';
import type { WriteStream } from 'node:fs';
import { rename, rm, writeFile } from 'node:fs/promises';
import { fileURLToPath } from 'node:url';
import type { ProcessFaults } from './shim.js';

/** What a program is started with. */
export interface ProgramOptions {
  /** Names its files. */
  readonly name: string;
  /** The script and its arguments. */
  readonly command: readonly string[];
  /** Where it listens. */
  readonly address: string;
  readonly env: Readonly<Record<string, string>>;
  /** Where its log and its control file are kept. */
  readonly outputFolder: string;
  /** Its data folder, where it has one. */
  readonly dataFolder: string | undefined;
}

/** How a process ended that nobody asked to end. */
export interface UnexpectedExit {
  readonly program: string;
  readonly code: number | null;
  readonly signal: string | null;
}

const calm: ProcessFaults = { clockMs: 0, syncMs: 0, full: false };

/** A process that ended by itself starts again after this time. */
const restartMs = 300;

/** Processes that run now. */
const running = new Set<ChildProcess>();

/** Kills every process that was started here. */
export function killAll(): void {
  for (const child of running) child.kill('SIGKILL');
}

/** A program, and the process that runs it now. */
export class Program {
  /** Ends that were not asked for. */
  readonly unexpectedExits: UnexpectedExit[] = [];
  private process: ChildProcess | undefined;
  private control = calm;
  private expected = false;
  private starting = false;
  private closed = false;
  private steered = 0;
  private readonly log: WriteStream;

  private constructor(readonly options: ProgramOptions) {
    this.log = createWriteStream(`${options.outputFolder}/${options.name}.log`, { flags: 'a' });
  }

  static create(options: ProgramOptions): Program {
    return new Program(options);
  }

  /** Starts the process, unless it runs. */
  async start(): Promise<void> {
    if (this.process || this.starting || this.closed) return;
    this.starting = true;
    await this.setFaults({});
    this.starting = false;
    if (!this.closed) this.spawn();
  }

  private spawn(): void {
    const { name, command, address, env, outputFolder: folder } = this.options;
    const shim = fileURLToPath(new URL('./shim.js', import.meta.url));
    const child = spawn(process.execPath, ['--import', shim, ...command], {
      env: { ...env, SOAK_CONTROL: `${folder}/${name}.json`, SOAK_ADDRESS: address },
      stdio: ['ignore', 'pipe', 'pipe'],
    });
    child.stdout.pipe(this.log, { end: false });
    child.stderr.pipe(this.log, { end: false });
    this.process = child;
    running.add(child);
    this.expected = false;
    child.once('exit', (code, signal) => {
      running.delete(child);
      if (this.process === child) this.process = undefined;
      if (this.expected) return;
      this.unexpectedExits.push({ program: name, code, signal });
      const restart = () => {
        void this.start();
      };
      setTimeout(restart, restartMs).unref();
    });
  }

  /** Kills the process and waits until it is gone. */
  async kill(): Promise<void> {
    await this.signal('SIGKILL');
  }

  /** Kills the process for good. */
  async close(): Promise<void> {
    this.closed = true;
    await this.kill();
  }

  /** Asks the process to end, and kills it after `graceMs`. */
  async terminate(graceMs: number): Promise<void> {
    const child = this.process;
    if (!child) return;
    const timer = setTimeout(() => child.kill('SIGKILL'), graceMs);
    await this.signal('SIGTERM');
    clearTimeout(timer);
  }

  pause(): void {
    this.process?.kill('SIGSTOP');
  }

  resume(): void {
    this.process?.kill('SIGCONT');
  }

  /** Changes what the program sees of its clock and disk. */
  async setFaults(change: Partial<ProcessFaults>): Promise<void> {
    this.control = { ...this.control, ...change };
    const { outputFolder: folder, name } = this.options;
    const path = `${folder}/${name}.json`;
    // Faults overlap: each writes a file of its own, and the last one to be renamed counts.
    this.steered += 1;
    const draft = `${path}.${this.steered}`;
    await writeFile(draft, JSON.stringify(this.control));
    await rename(draft, path);
  }

  /** Empties the data folder. */
  async wipe(): Promise<void> {
    const { dataFolder: data } = this.options;
    if (data !== undefined) await rm(data, { recursive: true, force: true });
  }

  private async signal(signal: 'SIGKILL' | 'SIGTERM'): Promise<void> {
    const child = this.process;
    if (!child) return;
    this.expected = true;
    const gone = once(child, 'exit');
    child.kill(signal);
    await gone;
    if (this.process === child) this.process = undefined;
  }
}
