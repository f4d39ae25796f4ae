/** A program of a soak run: starts its process, restarts it, and injects faults into it. */

import { spawn } from 'node:child_process';
import type { ChildProcess } from 'node:child_process';
import { once } from 'node:events';
import { createWriteStream } from 'node:fs';
import type { WriteStream } from 'node:fs';
import { rename, rm, writeFile } from 'node:fs/promises';
import { fileURLToPath } from 'node:url';
import type { ProcessFaults } from './shim.js';

export interface ProgramOptions {
  /** Base name of the program's log and control file. */
  readonly name: string;
  /** The script that Node.js runs, and its arguments. */
  readonly command: readonly string[];
  /** The listen address of the process. */
  readonly address: string;
  readonly env: Readonly<Record<string, string>>;
  /** Folder of the log and of the control file. */
  readonly outputFolder: string;
  /** The program's data folder, if it has one. */
  readonly dataFolder: string | undefined;
}

/** The exit of a process that was neither killed nor asked to terminate. */
export interface UnexpectedExit {
  readonly program: string;
  readonly code: number | null;
  readonly signal: string | null;
}

const noFaults: ProcessFaults = { clockMs: 0, syncMs: 0, full: false };

/** Delay before a process that exited unexpectedly is started again. */
const restartMs = 300;

/** All running processes of all programs. */
const running = new Set<ChildProcess>();

/** Kills the running processes of all programs. */
export function killAll(): void {
  for (const child of running) child.kill('SIGKILL');
}

/** A program and the process that runs it at present, if any. */
export class Program {
  readonly unexpectedExits: UnexpectedExit[] = [];
  private process: ChildProcess | undefined;
  private faults = noFaults;
  /** Whether the exit of the present process was requested. */
  private exitRequested = false;
  private starting = false;
  private closed = false;
  private controlWrites = 0;
  private readonly log: WriteStream;

  private constructor(readonly options: ProgramOptions) {
    this.log = createWriteStream(`${options.outputFolder}/${options.name}.log`, { flags: 'a' });
  }

  static create(options: ProgramOptions): Program {
    return new Program(options);
  }

  /** Starts the process, unless it runs or the program is closed. */
  async start(): Promise<void> {
    if (this.process || this.starting || this.closed) return;
    this.starting = true;
    await this.setFaults({});
    this.starting = false;
    if (!this.closed) this.spawn();
  }

  private spawn(): void {
    const { name, command, address, env, outputFolder } = this.options;
    const shim = fileURLToPath(new URL('./shim.js', import.meta.url));
    const child = spawn(process.execPath, ['--import', shim, ...command], {
      env: { ...env, SOAK_CONTROL: `${outputFolder}/${name}.json`, SOAK_ADDRESS: address },
      stdio: ['ignore', 'pipe', 'pipe'],
    });
    child.stdout.pipe(this.log, { end: false });
    child.stderr.pipe(this.log, { end: false });
    this.process = child;
    running.add(child);
    this.exitRequested = false;
    child.once('exit', (code, signal) => {
      running.delete(child);
      if (this.process === child) this.process = undefined;
      if (this.exitRequested) return;
      this.unexpectedExits.push({ program: name, code, signal });
      const restart = () => {
        void this.start();
      };
      setTimeout(restart, restartMs).unref();
    });
  }

  /** Kills the process and waits until it has exited. */
  async kill(): Promise<void> {
    await this.signal('SIGKILL');
  }

  /** Kills the process; it cannot be started again. */
  async close(): Promise<void> {
    this.closed = true;
    await this.kill();
  }

  /** Sends SIGTERM, and kills the process if it has not exited after `graceMs`. */
  async terminate(graceMs: number): Promise<void> {
    const child = this.process;
    if (!child) return;
    const timer = setTimeout(() => child.kill('SIGKILL'), graceMs);
    await this.signal('SIGTERM');
    clearTimeout(timer);
  }

  /** Tells the process that its settings may have changed. */
  reload(): void {
    this.process?.kill('SIGHUP');
  }

  pause(): void {
    this.process?.kill('SIGSTOP');
  }

  resume(): void {
    this.process?.kill('SIGCONT');
  }

  /** Changes the clock and disk faults that the process sees. */
  async setFaults(change: Partial<ProcessFaults>): Promise<void> {
    this.faults = { ...this.faults, ...change };
    const { outputFolder, name } = this.options;
    const path = `${outputFolder}/${name}.json`;
    // Faults overlap, so each change writes its own temporary file. The last one renamed applies.
    this.controlWrites += 1;
    const temporary = `${path}.${this.controlWrites}`;
    await writeFile(temporary, JSON.stringify(this.faults));
    await rename(temporary, path);
  }

  /** Deletes the data folder. */
  async wipe(): Promise<void> {
    const { dataFolder } = this.options;
    if (dataFolder !== undefined) await rm(dataFolder, { recursive: true, force: true });
  }

  private async signal(signal: 'SIGKILL' | 'SIGTERM'): Promise<void> {
    const child = this.process;
    if (!child) return;
    this.exitRequested = true;
    const exited = once(child, 'exit');
    child.kill(signal);
    await exited;
    if (this.process === child) this.process = undefined;
  }
}
